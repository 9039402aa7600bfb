#pragma once

#include "endpoint.h"
#include "httpmessage.h"
#include "units.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace nutmeghinge {

class EventLoop;

/** How a call of the client ended. */
enum class HttpCallResult : std::uint8_t {
    /** The whole answer has been handed over. */
    Complete,
    /** No connection was made, or not before the deadline: no byte was sent. */
    NotConnected,
    /** The connection ended after the request was begun and before the head of the answer. */
    ConnectionLost,
    /** The body ended before its stated length, or its chunks broke off. */
    Truncated,
    /** Nothing came or could be sent for the progress timeout. */
    NoProgress,
    DeadlineExpired,
    /** The answer is no HTTP/1 answer. */
    Malformed,
    Cancelled,
};

/** A request to send. */
struct HttpClientRequest {
    Endpoint to;
    std::string method = "GET";
    std::string path = "/";
    /** Without content-length, which the client sets. */
    HttpHeaders headers;
    std::shared_ptr<const std::string> body;
    /** Do not use a pooled connection. */
    bool freshConnection = false;
    MonotonicTime deadline = MonotonicTime::max();
    /** The deadline holds for the head of the answer; its body may take longer while there is progress. */
    bool deadlineForHeadOnly = false;
    Duration connectTimeout{std::chrono::milliseconds(500)};
    /** Longest time without a byte in either direction, while the reader is not paused. */
    Duration progressTimeout{std::chrono::seconds(5)};
};

/** Receives an answer. Owned by the caller of the client; alive until finished() is called. */
class HttpAnswerReceiver
{
public:
    virtual ~HttpAnswerReceiver() = default;

    virtual void headReceived(const HttpAnswerHead &head) = 0;
    /** Returns false to pause reading until HttpClient::resume(). */
    virtual bool bodyReceived(std::string_view data) = 0;
    /** Last call of each request. */
    virtual void finished(HttpCallResult result) = 0;
};

/**
 * HTTP/1.1 client on h2o with a bounded pool of idle connections. One exchange
 * runs on a connection at a time; one that did not end with a whole answer is
 * closed, never used again. Must be gone before the loop.
 */
class HttpClient
{
public:
    using CallId = std::uint64_t;

    /** Idle connections kept for one endpoint. */
    HttpClient(EventLoop &loop, std::size_t idlePerEndpoint);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Starts a request. finished() is never called before send() has returned. */
    CallId send(HttpClientRequest request, std::shared_ptr<HttpAnswerReceiver> receiver);
    /** Ends the request with Cancelled and closes its connection; finished() follows from the loop. */
    void cancel(CallId call);
    /** Reads on after bodyReceived() returned false. */
    void resume(CallId call);
    /** Closes idle connections to the endpoint: they may be silent. */
    void dropIdle(const Endpoint &endpoint);

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace nutmeghinge
