#pragma once

#include "clientlimits.h"
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
 * HTTP server with read-only pages for operators. Each path is answered by a
 * function; no request changes the node. Borrows the loop.
 */
class OperationsServer
{
public:
    /** Returns the content of a page. The query is the part of the request target after "?". */
    using Page = std::function<std::string(const std::string &query)>;

    explicit OperationsServer(EventLoop &loop, ClientLimits limits = {});

    /** Serves the page at the path. Must be called before listen(). */
    void addPage(const std::string &path, const std::string &contentType, Page page);
    /** Answers the path with 200 if the function returns true, otherwise with 503. */
    void addCheck(const std::string &path, std::function<bool()> check);
    /** Opens the listener and returns its endpoint. Port 0 picks a free port. */
    std::variant<Endpoint, ListenError> listen(const Endpoint &endpoint);

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
