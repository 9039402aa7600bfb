#pragma once

#include "httpanswerparser.h"
#include "httpclient.h"

#include <optional>
#include <span>
#include <uv.h>

namespace nutmeghinge {

/**
 * One TCP connection of the HttpClient with at most one exchange. Allocated on
 * the heap; deletes itself from the loop after close().
 */
class HttpClientConnection
{
public:
    /** A request with the one who receives its answer. */
    struct Exchange {
        HttpClient::CallId call = 0;
        HttpClientRequest request;
        std::shared_ptr<HttpAnswerReceiver> receiver;
    };

    /** Told of the end of exchanges and connections. */
    class Owner
    {
    public:
        virtual ~Owner() = default;
        /** The connection is idle if it is reusable, and closed otherwise. */
        virtual void exchangeEnded(HttpClientConnection &connection, Exchange exchange, HttpCallResult result, bool reusable) = 0;
        /** An idle connection was closed by the other side or by age. */
        virtual void idleClosed(HttpClientConnection &connection) = 0;
        /** Memory that every connection reads into, one after the other. */
        virtual std::span<char> readBuffer() = 0;
    };

    HttpClientConnection(EventLoop &loop, Owner &owner);
    HttpClientConnection(const HttpClientConnection &) = delete;
    HttpClientConnection &operator=(const HttpClientConnection &) = delete;

    /** Connects and sends the request. Returns false if no connection can be tried; the exchange then stays with the caller. */
    bool open(Exchange &exchange);
    /** Sends the next request. Returns false if the connection proved dead before the first byte; the exchange then stays with the caller. */
    bool reuse(Exchange &exchange);
    /** Reads on after the receiver's pause. */
    void resume();
    /** Takes the exchange away and closes. */
    Exchange abandon();
    /** Closes without telling the owner. */
    void close();
    const Endpoint &endpoint() const { return m_endpoint; }

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
    void writeRest(std::size_t written);
    void received(ssize_t size, char *data);
    void receivedHead(std::span<char> bytes);
    void receivedBody(std::span<char> bytes);
    void connectionEnded(bool cleanly);
    void timerFired();
    void progressExpired();
    void noteProgress();
    /** Deadline of what is awaited now. */
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
    std::shared_ptr<const std::string> m_requestBody;
    std::string m_answerHead;
    bool m_headComplete = false;
    bool m_writing = false;
    bool m_paused = false;
    bool m_leftover = false;
    bool m_lastChance = false;
    std::size_t m_unsent = 0;
    MonotonicTime m_lastProgress;
};

} // namespace nutmeghinge
