#pragma once

#include "endpoint.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace nutmeghinge {

class EventLoop;
class HttpExchange;

/** A listener that could not be opened. */
struct ListenFault {
    Endpoint endpoint;
    std::string reason;
};

/**
 * HTTP/1.1 and cleartext HTTP/2 server on h2o, one listener. Requests are handed
 * over whole. A request with faulty framing (two lengths, a length beside
 * chunked, a body over the limit) is answered 400 or 413 and never handed over.
 * Borrowed by nobody; must be gone before the loop.
 */
class HttpServer
{
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    struct Options {
        /** Largest request body; bytes. */
        std::uint64_t bodyLimit = 1048576;
        /** Name of the listener in log lines. */
        std::string name;
    };

    HttpServer(EventLoop &loop, Options options, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Opens the listener; port 0 takes a free one. Returns the endpoint in use. */
    std::variant<Endpoint, ListenFault> listen(const Endpoint &endpoint);
    /**
     * Refuses new connections and asks the existing ones to end after their
     * running answers (GOAWAY, "Connection: close"); calls the function when none is left.
     */
    void shutDown(std::function<void()> closed);
    std::size_t openConnections() const;
    /** Requests refused for faulty framing or size since the start. */
    std::uint64_t refusedInputs() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace nutmeghinge
