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
 * A request that waits for its answer: what of it is passed on, and how it is
 * answered. Owned by the RequestForwarder and the attempts of the request.
 */
class ForwardedRequest
{
public:
    /** The protocol must outlive the request. */
    ForwardedRequest(RequestId id, RequestForwarder::Source source, const RequestProtocol &protocol, std::shared_ptr<HttpExchange> exchange);

    RequestId id() const { return m_id; }
    /** Authority that the caller named. */
    const std::string &host() const { return m_host; }
    const std::string &method() const { return m_method; }
    const std::string &path() const { return m_path; }
    /** Headers that are passed on. */
    const HttpHeaders &headers() const { return m_headers; }
    const RequestProtocol &protocol() const { return m_protocol; }
    const std::shared_ptr<const std::string> &body() const { return m_body; }
    /** The event of the request; only before its end. */
    RequestArrived arrival() const;

    /** The request has its answer or its caller has gone: nothing more can be sent. */
    bool isOver() const { return m_exchange == nullptr; }
    /** Head and perhaps part of the body have gone to the caller. */
    bool answerBegun() const { return m_answerBegun; }

    void setClosedFunction(std::function<void()> function);
    void beginAnswer(const HttpAnswerHead &head);
    /** Returns false if the next part has to wait for the writable function. */
    bool write(std::string_view data);
    void setWritableFunction(std::function<void()> function);

    // Each of these ends the request.
    void finishAnswer();
    void answer(const StoredAnswer &answer);
    void refuse(const RefuseRequest &refusal);
    void reset();
    void callerGone();

private:
    HttpHeaders withEcho(HttpHeaders headers) const;
    std::shared_ptr<HttpExchange> takeExchange();

    RequestId m_id;
    RequestForwarder::Source m_source;
    const RequestProtocol &m_protocol;
    std::shared_ptr<HttpExchange> m_exchange;
    HttpHeaders m_headers;
    std::shared_ptr<const std::string> m_body;
    std::string m_host;
    std::string m_method;
    std::string m_path;
    /** Id under which a peer sent the request; the answer repeats it. */
    std::string m_peerRequestId;
    bool m_answerBegun = false;
};

} // namespace nutmeghinge
