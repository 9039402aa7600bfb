#pragma once

#include "httpclient.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>

namespace nutmeghinge {

/** Announces a target to the node beside it each second. */
class TargetAnnouncer
{
public:
    /** What to announce; nothing while the target says nothing. */
    using ContentFunction = std::function<std::optional<nlohmann::json>()>;

    TargetAnnouncer(EventLoop &loop, Endpoint node, ContentFunction content);

    /** Announces now. */
    void announce();

private:
    EventLoop &m_loop;
    HttpClient m_client;
    Endpoint m_node;
    ContentFunction m_content;
    /** The loop's timer holds it weakly, since it may outlive this. */
    std::shared_ptr<void> m_alive = std::make_shared<char>();
};

} // namespace nutmeghinge
