#pragma once

#include "endpoint.h"
#include "httpserver.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <variant>

namespace nutmeghinge {

class EventLoop;

/**
 * Read-only pages for operators: each path is answered by a function. Nothing
 * that it serves changes the node. Borrows the loop.
 */
class OperationsServer
{
public:
    /** Part of the request target after "?", without it. */
    using Page = std::function<std::string(const std::string &query)>;

    explicit OperationsServer(EventLoop &loop);

    /** Serves the path; must be called before listen(). */
    void addPage(const std::string &path, const std::string &contentType, Page page);
    /** Serves a path that is answered 200 while the function returns true, else 503. */
    void addCheck(const std::string &path, std::function<bool()> check);
    std::variant<Endpoint, ListenFault> listen(const Endpoint &endpoint);

private:
    struct Entry {
        std::string contentType;
        Page page;
    };

    void handle(const std::shared_ptr<HttpExchange> &exchange);

    std::map<std::string, Entry> m_pages;
    std::map<std::string, std::function<bool()>> m_checks;
    HttpServer m_server;
};

} // namespace nutmeghinge
