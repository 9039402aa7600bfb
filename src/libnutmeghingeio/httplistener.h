#pragma once

#include "endpoint.h"
#include "units.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace nutmeghinge {

class HttpExchange;

/** A listener that could not be opened. */
struct ListenFault {
    Endpoint endpoint;
    std::string reason;
};

/** A server's listener for HTTP requests, which are handed over whole. */
class HttpListener
{
public:
    /** What the user of a server chooses. */
    struct Options {
        /** Largest request body; bytes. */
        std::uint64_t bodyLimit = 1048576;
        /** Name of the listener in log lines. */
        std::string name;
        /** Time after which an idle connection is closed. */
        Duration idleTimeout{std::chrono::seconds(10)};
    };

    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    virtual ~HttpListener() = default;

    /** Opens the listener; port 0 takes a free one. Returns the endpoint in use. */
    virtual std::variant<Endpoint, ListenFault> listen(const Endpoint &endpoint) = 0;
    /**
     * Refuses new connections and asks the existing ones to end after their
     * running answers; calls the function when none is left.
     */
    virtual void shutDown(std::function<void()> closed) = 0;
    virtual std::size_t openConnections() const = 0;
    /** Requests refused for faulty framing or size since the start. */
    virtual std::uint64_t refusedInputs() const = 0;
};

} // namespace nutmeghinge
