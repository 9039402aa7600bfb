#pragma once

#include "httpexchange.h"
#include "picohttpparser.h"
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
 * One client's connection of a PipelinedServer: reads requests, holds their
 * exchanges in order and writes the answers of the first one. Kept alive by the
 * server and by its handles on the loop.
 */
class PipelinedConnection : public std::enable_shared_from_this<PipelinedConnection>
{
public:
    /** The server; outlives its connections. */
    class Owner
    {
    public:
        virtual ~Owner() = default;
        virtual void requestArrived(std::shared_ptr<HttpExchange> exchange) = 0;
        virtual void requestRefused(const char *reason) = 0;
        /** Last call of a connection. */
        virtual void connectionClosed(PipelinedConnection &connection) = 0;
    };

    struct Limits {
        /** Largest request body; bytes. */
        std::uint64_t body = 0;
        Duration idleTimeout{0};
    };

    PipelinedConnection(EventLoop &loop, Owner &owner, Limits limits);
    ~PipelinedConnection();
    PipelinedConnection(const PipelinedConnection &) = delete;
    PipelinedConnection &operator=(const PipelinedConnection &) = delete;

    /** Takes the next connection of the listener; false where there is none. */
    bool accept(uv_stream_t *listener);
    /** The last answer that is awaited closes the connection. */
    void closeAfterAnswers();
    void closeIfIdle();
    /** Resets the connection; the holders of its exchanges are not told. */
    void abort();

private:
    friend class PipelinedExchange;

    enum class State : std::uint8_t {
        Open,
        /** All answers are sent; what the client still sends is dropped until it closes. */
        Lingering,
        Closed,
    };

    /** A request whose head has been read and whose body is still coming. */
    struct PartialRequest {
        HttpRequest request;
        bool keepAlive = true;
        bool isHead = false;
        bool chunked = false;
        std::uint64_t bodyLeft = 0;
        phr_chunked_decoder decoder{};
    };

    void received(ssize_t size, const char *data);
    void parse();
    /** False where more bytes have to come first. */
    bool parseHead();
    bool parseBody();
    bool parseChunks();
    void handOver();
    void refuse(std::uint16_t status, const char *reason);
    void updateReading();

    /** Sends what the first exchange has; drops exchanges that are complete. */
    void flush();
    void send(std::string bytes);
    bool isCongested() const;
    void written();
    void clientGone();
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
    /** Held until the loop has released the handles. */
    std::shared_ptr<PipelinedConnection> m_self;
    State m_state = State::Open;
    bool m_reading = false;
    /** The last answer closes the connection. */
    bool m_closing = false;
    /** The client said that this is its last request, or its framing was faulty. */
    bool m_inputEnded = false;
    bool m_flushing = false;
    std::string m_input;
    std::optional<PartialRequest> m_partial;
    std::deque<std::shared_ptr<PipelinedExchange>> m_exchanges;
};

} // namespace nutmeghinge
