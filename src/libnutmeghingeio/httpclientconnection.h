#pragma once

#include "httpanswerparser.h"
#include "httpclient.h"

#include <deque>
#include <optional>
#include <span>
#include <uv.h>
#include <vector>

namespace nutmeghinge {

/**
 * One TCP connection of the HttpClient with at most one exchange. Allocated on
 * the heap; the event loop deletes it after close().
 */
class HttpClientConnection
{
public:
    /** A request and the receiver of its answer. */
    struct Exchange {
        HttpClient::CallId call = 0;
        HttpClientRequest request;
        std::shared_ptr<HttpAnswerReceiver> receiver;
    };

    /** Notified of the end of exchanges and idle connections. Must exist until the connection is closed. */
    class Owner
    {
    public:
        virtual ~Owner() = default;
        /** Called when an exchange has ended. The connection is now idle if reusable is true, otherwise closed. */
        virtual void exchangeEnded(HttpClientConnection &connection, Exchange exchange, HttpCallResult result, bool reusable) = 0;
        /** Called when the server has closed an idle connection, or sent bytes on it, or its idle lifetime has expired. */
        virtual void idleClosed(HttpClientConnection &connection) = 0;
        /** Returns the buffer that all connections share for reading. Its content is valid during one read only. */
        virtual std::span<char> readBuffer() = 0;
        virtual void countSent(ConnectionUse use, std::size_t bytes) = 0;
        virtual void countReceived(ConnectionUse use, std::size_t bytes) = 0;
    };

    HttpClientConnection(EventLoop &loop, Owner &owner);
    HttpClientConnection(const HttpClientConnection &) = delete;
    HttpClientConnection &operator=(const HttpClientConnection &) = delete;

    /** Connects and sends the request. Returns false, and leaves the exchange with the caller, if connecting cannot be started. */
    bool open(Exchange &exchange);
    /** Sends the next request. Returns false, and leaves the exchange with the caller, if the connection is dead and no byte was sent. */
    bool reuse(Exchange &exchange);
    /** Resumes reading after the receiver paused it. */
    void resume();
    /** Closes the connection and returns its exchange. */
    Exchange abandon();
    /** Closes the connection without notifying the owner. */
    void close();
    const Endpoint &endpoint() const { return m_endpoint; }
    /** Returns whether one of the last requests had the given answer id; false for an empty id. */
    bool hasCarried(const std::string &answerId) const;

private:
    enum class State : std::uint8_t {
        Connecting,
        Busy,
        Idle,
        Closed,
    };

    ~HttpClientConnection() = default;

    void configureSocket();
    void connected(int status);
    /** Returns false if no byte could be written. */
    bool sendRequest();
    std::vector<uv_buf_t> unwritten(std::size_t written) const;
    void writeRest(std::size_t written);
    void received(ssize_t size, char *data);
    void receivedHead(std::span<char> bytes);
    void receivedBody(std::span<char> bytes);
    /** error: UV_EOF or another error of libuv. */
    void onConnectionEnded(int error);
    void timerFired();
    void onProgressTimeout();
    void onDeadline();
    void checkAgainAfterReading();
    void recordProgress();
    /** Returns the deadline of the request, or MonotonicTime::max() if it applied to the head only, which has arrived. */
    MonotonicTime deadline() const;
    void armTimer();
    void end(HttpCallResult result);
    bool endedCleanly() const;
    bool isAlive() const;
    void startReading();

    EventLoop &m_loop;
    Owner &m_owner;
    Endpoint m_endpoint;
    State m_state = State::Connecting;
    uv_tcp_t m_socket{};
    uv_timer_t m_timer{};
    uv_connect_t m_connect{};
    uv_write_t m_write{};
    int m_openHandles = 2;

    std::optional<Exchange> m_exchange;
    std::optional<HttpAnswerParser> m_parser;
    std::string m_requestHead;
    RequestBody m_requestBody;
    std::string m_answerHead;
    bool m_headComplete = false;
    bool m_writing = false;
    bool m_paused = false;
    /** True if more bytes followed the end of the answer. */
    bool m_leftover = false;
    /** The progress timeout has expired; the sockets are read once more before the exchange fails. */
    bool m_progressRecheck = false;
    bool m_deadlineRecheck = false;
    /** Size of the write queue when it was last examined, in bytes. */
    std::size_t m_unsent = 0;
    MonotonicTime m_lastProgress;
    /** Answer ids of the last requests, oldest first. */
    std::deque<std::string> m_answerIds;
};

} // namespace nutmeghinge
