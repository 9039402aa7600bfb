#pragma once

#include "endpoint.h"
#include "httpmessage.h"
#include "linktraffic.h"
#include "requestbody.h"
#include "units.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace nutmeghinge {

class ConnectionBudget;
class EventLoop;

/** How a call of the client ended. */
enum class HttpCallResult : std::uint8_t {
    /** The complete answer was passed to the receiver. */
    Complete,
    /** No connection was established before the deadline. No byte was sent. */
    NotConnected,
    /** The connection ended after the client began to send the request and before the head of the answer arrived. */
    ConnectionLost,
    /** As ConnectionLost, but nobody closed the connection: the other side's system acknowledged nothing for too long. */
    Unacknowledged,
    /** The body ended before its stated length or before its last chunk. */
    Truncated,
    /** No byte was received or sent during the progress timeout. */
    NoProgress,
    DeadlineExpired,
    /** The bytes received are not a valid HTTP/1 answer. */
    Malformed,
    Cancelled,
};

/** A request to send. */
struct HttpClientRequest {
    Endpoint to;
    /** What the request is for, under which its bytes are counted. */
    ConnectionUse use = ConnectionUse::Target;
    std::string method = "GET";
    std::string path = "/";
    /** Headers without content-length, which the client sets. */
    HttpHeaders headers;
    RequestBody body;
    /**
     * Id that the server repeats in its answer, if it has one that another request may have as well. No connection carries two
     * requests with the same id, since a late second copy of the first answer would be taken for the answer to the second.
     */
    std::string answerId;
    /** Do not use a pooled connection. */
    bool freshConnection = false;
    MonotonicTime deadline = MonotonicTime::max();
    /** The deadline applies to the head of the answer only. Its body may take longer while there is progress. */
    bool deadlineForHeadOnly = false;
    Duration connectTimeout{std::chrono::milliseconds(500)};
    /** Longest time without a byte in either direction while the receiver is not paused. */
    Duration progressTimeout{std::chrono::seconds(5)};
};

/** Receives an answer. The client shares ownership until it has called finished(). */
class HttpAnswerReceiver
{
public:
    virtual ~HttpAnswerReceiver() = default;

    virtual void headReceived(const HttpAnswerHead &head) = 0;
    /** Returns false to pause reading until HttpClient::resume(). */
    virtual bool bodyReceived(std::string_view data) = 0;
    /** Called last, once for each request. */
    virtual void finished(HttpCallResult result) = 0;
};

/**
 * HTTP/1.1 client on libuv and h2o's parser with a bounded pool of idle connections.
 * A connection serves one exchange at a time. It is closed, not reused, unless the exchange ends with a
 * complete answer. Must be destroyed before the loop.
 */
class HttpClient
{
public:
    using CallId = std::uint64_t;

    /**
     * idlePerEndpoint: largest number of idle connections to keep for one endpoint. budget: counts the connections; traffic: counts
     * their bytes; null for none. Both must outlive the client.
     */
    HttpClient(EventLoop &loop, std::size_t idlePerEndpoint, ConnectionBudget *budget = nullptr, LinkTraffic *traffic = nullptr);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Starts a request. finished() is never called before send() has returned. */
    CallId send(HttpClientRequest request, std::shared_ptr<HttpAnswerReceiver> receiver);
    /** Ends the request with Cancelled and closes its connection. The event loop calls finished() later. */
    void cancel(CallId call);
    /** Resumes reading after bodyReceived() returned false. */
    void resume(CallId call);
    /** Closes the idle connections to an endpoint, for use when they may be dead. */
    void closeIdleConnections(const Endpoint &endpoint);

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace nutmeghinge
