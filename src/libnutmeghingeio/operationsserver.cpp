#include "operationsserver.h"

#include "httpexchange.h"

namespace nutmeghinge {

namespace {

constexpr std::uint64_t bodyLimitBytes = 1024;

} // namespace

OperationsServer::OperationsServer(EventLoop &loop, ClientLimits limits)
    : m_server(loop,
               HttpServer::Options{.bodyLimit = bodyLimitBytes, .name = "operations", .limits = limits},
               [this](const std::shared_ptr<HttpExchange> &exchange) { handle(exchange); })
{
}

void OperationsServer::addPage(const std::string &path, const std::string &contentType, Page page)
{
    m_pages[path] = Entry{contentType, std::move(page)};
}

void OperationsServer::addCheck(const std::string &path, std::function<bool()> check)
{
    m_checks[path] = std::move(check);
}

std::variant<Endpoint, ListenError> OperationsServer::listen(const Endpoint &endpoint)
{
    return m_server.listen(endpoint);
}

void OperationsServer::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpRequest &request = exchange->request();
    if (request.method != "GET") {
        exchange->answer(405, {{"allow", "GET"}}, "only GET is served here\n");
        return;
    }
    const std::size_t mark = request.path.find('?');
    if (const auto check = m_checks.find(request.path.substr(0, mark)); check != m_checks.end()) {
        const bool passes = check->second();
        exchange->answer(passes ? 200 : 503, {{"content-type", "text/plain"}}, passes ? "ok\n" : "not ready\n");
        return;
    }
    const auto entry = m_pages.find(request.path.substr(0, mark));
    if (entry == m_pages.end()) {
        exchange->answer(404, {{"content-type", "text/plain"}}, "no such page\n");
        return;
    }
    const std::string query = mark == std::string::npos ? std::string() : request.path.substr(mark + 1);
    exchange->answer(200, {{"content-type", entry->second.contentType}}, entry->second.page(query));
}

} // namespace nutmeghinge
