#pragma once

#include "httpclient.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>

namespace nutmeghinge {

/** Announces a target to the node on its VM once a second. */
class TargetAnnouncer
{
public:
    /** Returns the announcement to send; empty to skip it. */
    using AnnouncementFunction = std::function<std::optional<nlohmann::json>()>;

    TargetAnnouncer(EventLoop &loop, Endpoint node, AnnouncementFunction announcement);

    /** Sends an announcement now, in addition to those of the timer. */
    void announce();

private:
    EventLoop &m_loop;
    HttpClient m_client;
    Endpoint m_node;
    AnnouncementFunction m_announcement;
    /** Expires with this object. The loop's timer may outlive this object, and checks it by a weak pointer. */
    std::shared_ptr<void> m_alive = std::make_shared<char>();
};

} // namespace nutmeghinge
