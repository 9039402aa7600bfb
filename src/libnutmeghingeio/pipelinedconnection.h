#pragma once

#include "httpexchange.h"
#include "picohttpparser.h"
#include "socketaddress.h"
#include "units.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <uv.h>

namespace nutmeghinge {

class EventLoop;
class PipelinedExchange;

/**
 * A client's connection to a PipelinedServer: reads requests, queues their
 * exchanges and sends the answers in the order of the requests. Kept alive by the
 * server and by its handles in the loop.
 */
class PipelinedConnection : public std::enable_shared_from_this<PipelinedConnection>
{
public:
    /** Interface to the server, which outlives its connections. */
    class Owner
    {
    public:
        virtual ~Owner() = default;
        virtual void onRequest(std::shared_ptr<HttpExchange> exchange) = 0;
        virtual void onRequestRefused(const char *reason) = 0;
        /** Reports that the connection has closed; it makes no further calls. */
        virtual void onConnectionClosed(PipelinedConnection &connection) = 0;
    };

    struct Limits {
        /** Maximum size of a request body, in bytes. */
        std::uint64_t body = 0;
        Duration idleTimeout{0};
    };

    PipelinedConnection(EventLoop &loop, Owner &owner, Limits limits);
    ~PipelinedConnection();
    PipelinedConnection(const PipelinedConnection &) = delete;
    PipelinedConnection &operator=(const PipelinedConnection &) = delete;

    /** Accepts the next connection of the listener. Returns false if there is none. */
    bool accept(uv_stream_t *listener);
    /** Takes over a connection that was accepted otherwise. Returns false, and closes the socket, if that fails. */
    bool adopt(uv_os_sock_t socket);
    /** Closes the connection after the last pending answer. */
    void closeAfterAnswers();
    /** Like closeAfterAnswers(), but closes an idle connection at once. */
    void closeIfIdle();
    /** Resets the connection without calling the closed functions of its exchanges. */
    void abort();
    /** Returns the client's endpoint; empty if the client has disconnected. */
    Endpoint client() const { return SocketAddress::remoteEndpoint(&m_socket); }

private:
    friend class PipelinedExchange;

    enum class State : std::uint8_t {
        Open,
        /** All answers are sent; further input is discarded until the client closes the connection. */
        Lingering,
        Closed,
    };

    /** A request whose head has been read and whose body is not complete yet. */
    struct PartialRequest {
        HttpRequest request;
        bool keepAlive = true;
        bool isHead = false;
        bool chunked = false;
        std::uint64_t bodyLeft = 0;
        phr_chunked_decoder decoder{};
    };

    /** Returns whether the exchange's answer is the one being sent. */
    bool isFirst(const PipelinedExchange &exchange) const { return !m_exchanges.empty() && m_exchanges.front().get() == &exchange; }
    bool begin(bool opened);
    void handleInput(ssize_t size, const char *data);
    void parse();
    /** Returns false if more input is needed or the request was refused. */
    bool parseHead();
    bool parseBody();
    bool parseChunks();
    void dispatchRequest();
    void refuse(std::uint16_t status, const char *reason);
    void updateReading();

    /** Sends the available output of the first exchange and removes complete exchanges. */
    void flush();
    void send(std::string bytes);
    bool isWriteQueueFull() const;
    /** Returns whether the client has sent bytes that were not read yet. */
    bool hasUnreadInput() const;
    void handleWritten();
    void handleDisconnect();
    void reset();
    void finish();
    void close();
    void armTimer(Duration duration);

    EventLoop &m_loop;
    Owner &m_owner;
    Limits m_limits;
    uv_tcp_t m_socket{};
    uv_timer_t m_timer{};
    int m_openHandles = 2;
    /** Keeps the connection alive until the loop has closed its handles. */
    std::shared_ptr<PipelinedConnection> m_self;
    State m_state = State::Open;
    bool m_reading = false;
    /** True if the connection closes after the last pending answer. */
    bool m_closeAfterAnswers = false;
    /** True if no further request is read: the client announced its last request, a request was refused or the server shuts down. */
    bool m_inputEnded = false;
    bool m_flushing = false;
    std::string m_input;
    std::optional<PartialRequest> m_partial;
    std::deque<std::shared_ptr<PipelinedExchange>> m_exchanges;
};

} // namespace nutmeghinge
