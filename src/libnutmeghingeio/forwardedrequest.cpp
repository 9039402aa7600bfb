#include "forwardedrequest.h"

#include "endtoendheaders.h"
#include "nativerequestprotocol.h"
#include "notrunreasonname.h"
#include "numberparsing.h"
#include "relayedstatementheaders.h"
#include "requestprotocol.h"
#include "wireheaders.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace nutmeghinge {

namespace {

constexpr std::uint32_t maxHops = 1000;
/** Latest time of another node's clock that is read as such, in milliseconds of Unix time. */
constexpr std::uint64_t latestWallTimeMs = std::uint64_t(1) << 50U;
constexpr std::uint64_t maxPriority = 1000;
constexpr std::uint64_t maxSlot = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t maxWorkClass = std::numeric_limits<std::uint32_t>::max();
constexpr std::string_view yes = "1";

/** Returns the host of an authority without its port, in lower case. */
std::string hostName(std::string_view authority)
{
    const std::size_t bracket = authority.rfind(']');
    const std::size_t colon = authority.rfind(':');
    if (colon != std::string_view::npos && (bracket == std::string_view::npos || colon > bracket)) {
        authority = authority.substr(0, colon);
    }
    return lowerCase(authority);
}

std::optional<std::uint64_t> numberIn(const HttpHeaders &headers, std::string_view name)
{
    return parseNumber(findHeader(headers, name).value_or(""));
}

/** Returns the routing decision of the node that forwarded the request; std::nullopt if that node has no routes. */
std::optional<RoutedRequest> routedOf(const HttpHeaders &headers)
{
    const std::optional<std::string_view> service = findHeader(headers, wire::service);
    if (!service) {
        return std::nullopt;
    }
    RoutedRequest routed;
    routed.service = ServiceName(std::string(*service));
    routed.repeatable = findHeader(headers, wire::repeatable) == yes;
    routed.priority = static_cast<std::uint32_t>(std::min<std::uint64_t>(numberIn(headers, wire::priority).value_or(0), maxPriority));
    routed.objective = timeoutOfMilliseconds(numberIn(headers, wire::objective)).value_or(Duration(0));
    routed.workClass = static_cast<std::uint32_t>(std::min<std::uint64_t>(numberIn(headers, wire::workClass).value_or(0), maxWorkClass));
    return routed;
}

std::string refusalBody(const RefuseRequest &refusal)
{
    const nlohmann::json body = {{"error", refusal.detail}, {"outcome", nameOf(refusal.outcome)}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n';
}

} // namespace

ForwardedRequest::ForwardedRequest(RequestId id, RequestForwarder::Source source, const RequestProtocol &protocol, std::shared_ptr<HttpExchange> exchange)
    : m_id(id)
    , m_source(source)
    , m_protocol(protocol)
    , m_exchange(std::move(exchange))
    , m_headers(endToEndHeaders(m_exchange->request().headers, protocol))
    , m_body(m_exchange->request().body)
    , m_host(m_exchange->request().host)
    , m_method(m_exchange->request().method)
    , m_path(m_exchange->request().path)
{
    if (source == RequestForwarder::Source::Caller) {
        protocol.setCallerHeaders(m_headers);
    } else {
        m_peerRequestId = findHeader(m_exchange->request().headers, wire::requestId).value_or("");
    }
}

RequestArrived ForwardedRequest::arrival(MonotonicTime now, MonotonicTime inputHandledUntil) const
{
    const HttpHeaders &received = m_exchange->request().headers;
    RequestArrived event;
    event.request = m_id;
    event.waited = now - std::min(now, m_exchange->request().arrivedAfter.value_or(inputHandledUntil));
    event.host = hostName(m_host);
    event.method = m_method;
    event.path = m_path;
    event.headers = m_headers;
    event.bodySize = m_body.size();
    event.body = m_body;
    event.caller = m_protocol.callerIdentity(m_headers);
    event.callerId = m_protocol.callerId(received);
    if (m_source == RequestForwarder::Source::Caller) {
        event.timeout = m_protocol.timeout(received);
        return event;
    }
    event.timeout = timeoutOfMilliseconds(numberIn(received, wire::deadline));
    event.waitedBefore = timeoutOfMilliseconds(numberIn(received, wire::waitedMs)).value_or(Duration(0));
    event.routed = routedOf(received);
    event.relayed = relayedStatementOf(received);
    event.hops = static_cast<std::uint32_t>(std::min<std::uint64_t>(numberIn(received, wire::hops).value_or(1), maxHops));
    event.entry = MemberSlot(static_cast<std::uint32_t>(std::min<std::uint64_t>(numberIn(received, wire::entry).value_or(noMember.value()), maxSlot)));
    event.entryEndsIn = timeoutOfMilliseconds(numberIn(received, wire::entryEndsMs));
    if (const std::optional<std::uint64_t> endsAt = numberIn(received, wire::entryEndsAtMs)) {
        event.entryEndsAt = WallTime(std::chrono::milliseconds(static_cast<std::int64_t>(std::min(*endsAt, latestWallTimeMs))));
    }
    event.time.wall = WallTime(std::chrono::milliseconds(static_cast<std::int64_t>(numberIn(received, wire::clockMilliseconds).value_or(0))));
    event.time.counter = static_cast<std::uint32_t>(numberIn(received, wire::clockCounter).value_or(0));
    return event;
}

void ForwardedRequest::setClosedFunction(std::function<void()> function)
{
    m_exchange->setClosedFunction(std::move(function));
}

void ForwardedRequest::setTargetStatement(std::optional<RelayedStatement> relayed)
{
    m_targetStatement = std::move(relayed);
}

void ForwardedRequest::beginAnswer(const HttpAnswerHead &head)
{
    if (hasEnded()) {
        return;
    }
    m_answerBegun = true;
    m_exchange->beginAnswer({.status = head.status, .headers = withPeerHeaders(head.headers), .contentLength = head.contentLength});
}

bool ForwardedRequest::write(std::string_view data)
{
    return hasEnded() || m_exchange->write(data);
}

void ForwardedRequest::setWritableFunction(std::function<void()> function)
{
    if (!hasEnded()) {
        m_exchange->setWritableFunction(std::move(function));
    }
}

void ForwardedRequest::finishAnswer()
{
    if (const auto exchange = takeExchange()) {
        exchange->finish();
    }
}

void ForwardedRequest::answer(const StoredAnswer &answer)
{
    if (m_answerBegun) {
        return;
    }
    if (const auto exchange = takeExchange()) {
        exchange->answer(answer.status, withPeerHeaders(answer.headers), answer.body);
    }
}

void ForwardedRequest::refuse(const RefuseRequest &refusal)
{
    if (m_answerBegun) {
        reset();
        return;
    }
    const auto exchange = takeExchange();
    if (!exchange) {
        return;
    }
    if (m_source == RequestForwarder::Source::Caller) {
        exchange->answer(refusal.status, m_protocol.refusalHeaders(refusal), refusalBody(refusal));
        return;
    }
    HttpHeaders headers{{"content-type", "application/json"}, {std::string(wire::outcome), std::string(nameOf(refusal.outcome))}};
    if (refusal.retryAfter > Duration::zero()) {
        headers.emplace_back(wire::retryAfterMs, std::to_string(std::chrono::ceil<std::chrono::milliseconds>(refusal.retryAfter).count()));
    }
    if (refusal.crashedTarget) {
        headers.emplace_back(wire::crashedTarget, std::to_string(refusal.crashedTarget->value()));
    }
    if (refusal.workTimeExpired) {
        headers.emplace_back(wire::workTimeExpired, yes);
    }
    if (refusal.unknownCause) {
        headers.emplace_back(wire::unknownCause, nameOf(*refusal.unknownCause));
    }
    if (refusal.outcome == Outcome::NotRun) {
        headers.emplace_back(wire::reason, nameOf(refusal.reason));
    }
    exchange->answer(refusal.status, withPeerHeaders(std::move(headers)), refusalBody(refusal));
}

void ForwardedRequest::reset()
{
    if (const auto exchange = takeExchange()) {
        exchange->reset();
    }
}

void ForwardedRequest::onCallerDisconnected()
{
    takeExchange();
}

HttpHeaders ForwardedRequest::withPeerHeaders(HttpHeaders headers) const
{
    if (!m_peerRequestId.empty()) {
        headers.emplace_back(wire::requestId, m_peerRequestId);
    }
    if (m_source == RequestForwarder::Source::Peer && m_targetStatement) {
        appendRelayedStatement(headers, *m_targetStatement);
    }
    return headers;
}

std::shared_ptr<HttpExchange> ForwardedRequest::takeExchange()
{
    if (m_exchange) {
        m_exchange->setClosedFunction(nullptr);
        m_exchange->setWritableFunction(nullptr);
    }
    return std::exchange(m_exchange, nullptr);
}

} // namespace nutmeghinge
