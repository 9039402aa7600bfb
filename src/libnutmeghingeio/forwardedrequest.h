#pragma once

#include "effects.h"
#include "events.h"
#include "httpexchange.h"
#include "requestforwarder.h"

#include <memory>
#include <optional>

namespace nutmeghinge {

class RequestProtocol;

/**
 * A request that waits for its answer. Holds the parts that are forwarded and
 * sends the answer to the caller or peer. Shared by the RequestForwarder and the request's attempts.
 */
class ForwardedRequest
{
public:
    /** The protocol must outlive the request. */
    ForwardedRequest(RequestId id, RequestForwarder::Source source, const RequestProtocol &protocol, std::shared_ptr<HttpExchange> exchange);

    RequestId id() const { return m_id; }
    /** Authority as the caller sent it, with the port if it has one. */
    const std::string &host() const { return m_host; }
    const std::string &method() const { return m_method; }
    const std::string &path() const { return m_path; }
    /** Headers to forward. */
    const HttpHeaders &headers() const { return m_headers; }
    const RequestProtocol &protocol() const { return m_protocol; }
    const RequestBody &body() const { return m_body; }
    /** Returns the request's RequestArrived event. May be called only before the request has ended. */
    RequestArrived arrival(MonotonicTime now, MonotonicTime inputHandledUntil) const;

    /** Returns whether the request is answered or its caller has disconnected. Nothing can be sent then. */
    bool hasEnded() const { return m_exchange == nullptr; }
    /** Returns whether the head of the answer, and perhaps part of its body, was sent to the caller. */
    bool answerBegun() const { return m_answerBegun; }

    /** Sets the function to call when the caller disconnects. */
    void setClosedFunction(std::function<void()> function);
    /** Sets what the target that answers the request said about itself. A peer is told with the answer. */
    void setTargetStatement(std::optional<RelayedStatement> relayed);
    /** Sends the head of the answer, unless the request has ended. */
    void beginAnswer(const HttpAnswerHead &head);
    /** Sends a part of the body. Returns false if the next part must wait until the writable function is called. */
    bool write(std::string_view data);
    /** Sets the function to call when the next part of the body can be written. */
    void setWritableFunction(std::function<void()> function);

    // Each of these ends the request, except answer() after beginAnswer().
    /** Ends an answer that beginAnswer() began. */
    void finishAnswer();
    /** Sends a complete answer. Does nothing if beginAnswer() has begun one. */
    void answer(const StoredAnswer &answer);
    /** Answers with the refusal, or resets the answer if beginAnswer() has begun one. */
    void refuse(const RefuseRequest &refusal);
    /** Aborts the answer, so that the caller cannot mistake it for complete. */
    void reset();
    /** Ends the request without an answer. */
    void onCallerDisconnected();

private:
    /** Adds the headers that only a peer gets. */
    HttpHeaders withPeerHeaders(HttpHeaders headers) const;
    std::shared_ptr<HttpExchange> takeExchange();

    RequestId m_id;
    RequestForwarder::Source m_source;
    const RequestProtocol &m_protocol;
    std::shared_ptr<HttpExchange> m_exchange;
    HttpHeaders m_headers;
    RequestBody m_body;
    std::string m_host;
    std::string m_method;
    std::string m_path;
    /** Id that the peer gave the request; the answer repeats it. */
    std::string m_peerRequestId;
    std::optional<RelayedStatement> m_targetStatement;
    bool m_answerBegun = false;
};

} // namespace nutmeghinge
