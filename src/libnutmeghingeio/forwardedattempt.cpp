#include "forwardedattempt.h"

#include "endtoendheaders.h"
#include "eventloop.h"
#include "forwardedrequest.h"
#include "relayedstatementheaders.h"
#include "wireheaders.h"

namespace nutmeghinge {

namespace {

constexpr std::uint16_t gatewayTimeout = 504;

AttemptUnknown::Reason unknownReasonOf(HttpCallResult result)
{
    switch (result) {
    case HttpCallResult::Truncated:
        return AttemptUnknown::Reason::TruncatedAnswer;
    case HttpCallResult::NoProgress:
        return AttemptUnknown::Reason::NoProgress;
    case HttpCallResult::DeadlineExpired:
        return AttemptUnknown::Reason::DeadlineExpired;
    case HttpCallResult::Malformed:
        return AttemptUnknown::Reason::WrongAnswer;
    case HttpCallResult::Unacknowledged:
        return AttemptUnknown::Reason::Unacknowledged;
    case HttpCallResult::Cancelled:
        return AttemptUnknown::Reason::Cancelled;
    case HttpCallResult::Complete:
    case HttpCallResult::NotConnected:
    case HttpCallResult::ConnectionLost:
        break;
    }
    return AttemptUnknown::Reason::ConnectionLost;
}

} // namespace

ForwardedAttempt::ForwardedAttempt(EventLoop &loop,
                                   HttpClient &client,
                                   std::shared_ptr<ForwardedRequest> request,
                                   Options options,
                                   EventFunction events,
                                   EndFunction ended)
    : m_loop(loop)
    , m_client(client)
    , m_request(std::move(request))
    , m_options(std::move(options))
    , m_events(std::move(events))
    , m_ended(std::move(ended))
{
}

void ForwardedAttempt::send(HttpClientRequest request)
{
    m_call = m_client.send(std::move(request), shared_from_this());
}

void ForwardedAttempt::cancel()
{
    m_client.cancel(m_call);
}

void ForwardedAttempt::abandon()
{
    m_state = State::Finished;
    m_events = nullptr;
    m_ended = nullptr;
    m_client.cancel(m_call);
}

void ForwardedAttempt::onCallerDisconnected()
{
    m_client.resume(m_call);
}

void ForwardedAttempt::headReceived(const HttpAnswerHead &head)
{
    if (m_state == State::Finished) {
        return;
    }
    if (!isAnswerToAttempt(head)) {
        m_client.cancel(m_call);
        finish(AttemptUnknown{.reason = AttemptUnknown::Reason::WrongAnswer, .answerBegun = false});
        return;
    }
    readStatement(head);
    if (const auto refusal = parseRefusal(head)) {
        std::visit([this](const auto &result) { finish(result); }, *refusal);
        return;
    }
    acceptAnswer(head);
}

/** Emits what this node's target says about itself, also if it says nothing, since that ends an earlier statement. */
void ForwardedAttempt::readStatement(const HttpAnswerHead &head)
{
    if (m_options.destination == AttemptDestination::Peer) {
        m_targetStatement = relayedStatementOf(head.headers);
        return;
    }
    const TargetStatement statement = m_request->protocol().statementOf(head);
    if (statement.limit || statement.leaving) {
        m_targetStatement = RelayedStatement{.target = m_options.call.target, .statement = statement};
    }
    m_events(TargetStated{.target = m_options.call.target, .statement = statement});
}

bool ForwardedAttempt::isAnswerToAttempt(const HttpAnswerHead &head) const
{
    if (m_options.destination == AttemptDestination::Target) {
        return m_request->protocol().isAnswerToCall(head, m_request->headers(), m_options.call);
    }
    return findHeader(head.headers, wire::requestId).value_or(m_options.call.attemptId) == m_options.call.attemptId;
}

bool ForwardedAttempt::saysWorkTimeExpired(const HttpAnswerHead &head) const
{
    return head.status == gatewayTimeout && m_options.expiredWorkFrom && m_loop.now() >= *m_options.expiredWorkFrom;
}

std::optional<std::variant<AttemptNotRun, AttemptUnknown>> ForwardedAttempt::parseRefusal(const HttpAnswerHead &head) const
{
    if (saysWorkTimeExpired(head)) {
        return AttemptUnknown{.reason = AttemptUnknown::Reason::WorkTimeExpired, .answerBegun = false, .status = head.status};
    }
    const bool fromTarget = m_options.destination == AttemptDestination::Target;
    return fromTarget ? m_request->protocol().refusalOf(head) : refusalOf(head, AttemptDestination::Peer);
}

void ForwardedAttempt::acceptAnswer(const HttpAnswerHead &head)
{
    m_head = {.status = head.status, .headers = endToEndHeaders(head.headers, m_request->protocol()), .contentLength = head.contentLength};
    const bool fits = head.contentLength.value_or(0) <= m_options.bufferLimit;
    m_request->setTargetStatement(m_targetStatement);
    m_state = State::Buffering;
    if (!m_options.keepAnswer || !fits) {
        startStreaming();
    }
    m_events(AttemptAnswering{.attempt = m_options.id, .status = head.status, .relayed = m_targetStatement});
}

void ForwardedAttempt::startStreaming()
{
    if (m_request->answerBegun()) {
        m_state = State::Discarding;
        return;
    }
    m_state = State::Streaming;
    m_request->beginAnswer(m_head);
    m_request->setWritableFunction([this] { m_client.resume(m_call); });
}

bool ForwardedAttempt::bodyReceived(std::string_view data)
{
    if (m_state == State::Finished) {
        discardBody(data);
        return true;
    }
    m_bodyBytes += data.size();
    if (m_state == State::Buffering) {
        return bufferBody(data);
    }
    return m_state != State::Streaming || m_request->write(data);
}

/** Reads the rest of a refusal, so that its connection can be used again, unless it is too long for one. */
void ForwardedAttempt::discardBody(std::string_view data)
{
    m_discardedBytes += data.size();
    if (m_discardedBytes > m_options.bufferLimit) {
        m_client.cancel(m_call);
    }
}

bool ForwardedAttempt::bufferBody(std::string_view data)
{
    m_bufferedBody += data;
    if (m_bufferedBody.size() <= m_options.bufferLimit) {
        return true;
    }
    startStreaming();
    const std::string buffered = std::exchange(m_bufferedBody, {});
    return m_state != State::Streaming || m_request->write(buffered);
}

void ForwardedAttempt::finished(HttpCallResult result)
{
    const std::shared_ptr<ForwardedAttempt> self = shared_from_this();
    if (const EndFunction ended = std::exchange(m_ended, nullptr)) {
        ended(result);
    }
    if (m_state == State::Finished) {
        return;
    }
    if (result == HttpCallResult::Complete) {
        onAnswerComplete();
    } else {
        onAnswerFailed(result);
    }
}

void ForwardedAttempt::onAnswerComplete()
{
    AttemptAnswered answered{.status = m_head.status, .answer = {}, .bodyBytes = m_bodyBytes};
    if (m_state == State::Buffering) {
        answered.answer = StoredAnswer{.status = m_head.status, .headers = m_head.headers, .body = std::move(m_bufferedBody)};
        m_request->answer(*answered.answer);
    } else if (m_state == State::Streaming) {
        m_request->finishAnswer();
    }
    finish(std::move(answered));
}

void ForwardedAttempt::onAnswerFailed(HttpCallResult result)
{
    if (result == HttpCallResult::NotConnected) {
        finish(AttemptNotRun{.reason = NotRunReason::NotConnected, .retryAfter = {}, .newerFence = {}});
        return;
    }
    const bool begun = m_state == State::Streaming;
    if (begun) {
        m_request->reset();
    }
    finish(AttemptUnknown{.reason = unknownReasonOf(result), .answerBegun = begun});
}

void ForwardedAttempt::finish(std::variant<AttemptAnswered, AttemptNotRun, AttemptUnknown> result)
{
    m_state = State::Finished;
    const EventFunction events = m_events;
    events(AttemptFinished{.attempt = m_options.id, .result = std::move(result)});
}

} // namespace nutmeghinge
