#include "scriptedserver.h"

namespace nutmeghinge {

ScriptedServer::ScriptedServer(EventLoop &loop)
    : m_server(loop, {}, [this](const std::shared_ptr<HttpExchange> &exchange) { answer(exchange); })
    , m_endpoint(std::get<Endpoint>(m_server.listen({"127.0.0.1", 0})))
{
}

void ScriptedServer::answer(const std::shared_ptr<HttpExchange> &exchange)
{
    m_requests.push_back(exchange->request());
    ScriptedAnswer answer = m_script(exchange->request());
    if (answer.isUnanswered) {
        m_unanswered.push_back(exchange);
        return;
    }
    exchange->answer(answer.status, answer.headers, std::move(answer.body));
}

} // namespace nutmeghinge
