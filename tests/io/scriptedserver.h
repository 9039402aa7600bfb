#pragma once

#include "httpexchange.h"
#include "httpserver.h"

#include <functional>
#include <string>
#include <vector>

namespace nutmeghinge {

/** An answer that a test defines. */
struct ScriptedAnswer {
    std::uint16_t status = 200;
    std::string body;
    /** The server leaves the request unanswered. */
    bool isUnanswered = false;
    HttpHeaders headers{};
};

/** A loopback HTTP server that answers with the test's script and records the requests. */
class ScriptedServer
{
public:
    using Script = std::function<ScriptedAnswer(const HttpRequest &)>;

    explicit ScriptedServer(EventLoop &loop);

    const Endpoint &endpoint() const { return m_endpoint; }
    void setScript(Script script) { m_script = std::move(script); }
    const std::vector<HttpRequest> &requests() const { return m_requests; }

private:
    void answer(const std::shared_ptr<HttpExchange> &exchange);

    Script m_script;
    std::vector<HttpRequest> m_requests;
    /** Exchanges kept alive so that they stay unanswered. */
    std::vector<std::shared_ptr<HttpExchange>> m_unanswered;
    HttpServer m_server;
    Endpoint m_endpoint;
};

} // namespace nutmeghinge
