#pragma once

#include "clientlimits.h"
#include "endpoint.h"
#include "httpmessage.h"
#include "linktraffic.h"
#include "units.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace nutmeghinge {

class HttpExchange;
class LinkPacer;

/** Reports why a listener could not be opened. */
struct ListenError {
    Endpoint endpoint;
    std::string reason;
};

/** Interface of an HTTP server with one listener. Passes complete requests to a handler. */
class HttpListener
{
public:
    /** Settings of a server. */
    struct Options {
        /** Maximum size of a request body, in bytes. */
        std::uint64_t bodyLimit = 1048576;
        /** Name of the listener in log lines. */
        std::string name;
        /** Time after which an idle connection is closed. */
        Duration idleTimeout{std::chrono::seconds(10)};
        ClientLimits limits{};
        /** Headers of an answer 503 to a request for which there is no memory. */
        HttpHeaders unavailableHeaders{};
        /**
         * Headers of the answer 503 that a PipelinedServer writes on an idle connection before it closes it, for a request that crosses
         * the close: it is not read. Empty: no such answer, as clients other than nodes would not expect it.
         */
        HttpHeaders closingHeaders{};
        /** Counts what a PipelinedServer sends and receives, under this use; null for none. Must outlive the listener. */
        LinkTraffic *traffic = nullptr;
        ConnectionUse use = ConnectionUse::Callers;
        /** Shares the VM's link among the large answers of a PipelinedServer; null for none. Must outlive the listener. */
        LinkPacer *pacer = nullptr;
    };

    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    virtual ~HttpListener() = default;

    /** Opens the listener and returns its endpoint. Port 0 picks a free port. */
    virtual std::variant<Endpoint, ListenError> listen(const Endpoint &endpoint) = 0;
    /**
     * Announces with each answer that begins from now on that its connection closes after it. Connections are still accepted, and
     * their requests served. HTTP/2 connections are told by shutDown().
     */
    virtual void announceClose() = 0;
    /**
     * Refuses new connections and closes the existing ones after their pending
     * answers. Calls the function once all connections are closed.
     */
    virtual void shutDown(std::function<void()> closed) = 0;
    /** Returns the number of open connections. */
    virtual std::size_t openConnections() const = 0;
    /** Returns the number of requests refused since the start because of invalid framing or their size. */
    virtual std::uint64_t refusedInputs() const = 0;
};

} // namespace nutmeghinge
