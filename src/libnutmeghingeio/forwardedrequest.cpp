#include "forwardedrequest.h"

#include "endtoendheaders.h"
#include "notrunreasonname.h"
#include "numberparsing.h"
#include "wireheaders.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace nutmeghinge {

namespace {

constexpr std::string_view waitPreference = "wait=";
constexpr std::uint64_t maxTimeoutMs = 86400000;
constexpr std::uint32_t maxHops = 1000;

/** Host without its port, in lower case. */
std::string hostName(std::string_view authority)
{
    const std::size_t bracket = authority.rfind(']');
    const std::size_t colon = authority.rfind(':');
    if (colon != std::string_view::npos && (bracket == std::string_view::npos || colon > bracket)) {
        authority = authority.substr(0, colon);
    }
    return lowerCase(authority);
}

std::optional<Duration> timeoutOfMilliseconds(std::optional<std::uint64_t> milliseconds)
{
    if (!milliseconds) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(std::min(*milliseconds, maxTimeoutMs));
}

/** Time that a caller allows by "Prefer: wait=SECONDS". */
std::optional<Duration> preferredWait(const HttpHeaders &headers)
{
    for (const auto &[name, value] : headers) {
        if (name != wire::prefer) {
            continue;
        }
        for (const std::string &item : listItems(value)) {
            if (!item.starts_with(waitPreference)) {
                continue;
            }
            if (const auto seconds = parseNumber(std::string_view(item).substr(waitPreference.size()))) {
                return timeoutOfMilliseconds(std::min(*seconds, maxTimeoutMs) * 1000);
            }
        }
    }
    return std::nullopt;
}

std::optional<std::uint64_t> numberIn(const HttpHeaders &headers, std::string_view name)
{
    return parseNumber(findHeader(headers, name).value_or(""));
}

std::string_view nameOf(Outcome outcome)
{
    return outcome == Outcome::NotRun ? wire::notRun : wire::unknown;
}

std::string refusalBody(const RefuseRequest &refusal)
{
    const nlohmann::json body = {{"error", refusal.detail}, {"outcome", nameOf(refusal.outcome)}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n';
}

} // namespace

ForwardedRequest::ForwardedRequest(RequestId id, RequestForwarder::Source source, std::shared_ptr<HttpExchange> exchange)
    : m_id(id)
    , m_source(source)
    , m_exchange(std::move(exchange))
    , m_headers(endToEndHeaders(m_exchange->request().headers))
    , m_body(std::make_shared<const std::string>(m_exchange->request().body))
    , m_host(m_exchange->request().host)
    , m_method(m_exchange->request().method)
    , m_path(m_exchange->request().path)
{
    if (source == RequestForwarder::Source::Peer) {
        m_peerRequestId = findHeader(m_exchange->request().headers, wire::requestId).value_or("");
    }
}

RequestArrived ForwardedRequest::arrival() const
{
    const HttpHeaders &received = m_exchange->request().headers;
    RequestArrived event;
    event.request = m_id;
    event.host = hostName(m_host);
    event.method = m_method;
    event.path = m_path;
    event.headers = m_headers;
    event.bodySize = m_body->size();
    if (m_source == RequestForwarder::Source::Caller) {
        event.timeout = preferredWait(m_headers);
        return event;
    }
    event.timeout = timeoutOfMilliseconds(numberIn(received, wire::deadline));
    event.hops = static_cast<std::uint32_t>(std::min<std::uint64_t>(numberIn(received, wire::hops).value_or(1), maxHops));
    event.time.wall = WallTime(std::chrono::milliseconds(static_cast<std::int64_t>(numberIn(received, wire::clockMilliseconds).value_or(0))));
    event.time.counter = static_cast<std::uint32_t>(numberIn(received, wire::clockCounter).value_or(0));
    return event;
}

void ForwardedRequest::setClosedFunction(std::function<void()> function)
{
    m_exchange->setClosedFunction(std::move(function));
}

void ForwardedRequest::beginAnswer(const HttpAnswerHead &head)
{
    if (isOver()) {
        return;
    }
    m_answerBegun = true;
    m_exchange->beginAnswer({.status = head.status, .headers = withEcho(head.headers), .contentLength = head.contentLength});
}

bool ForwardedRequest::write(std::string_view data)
{
    return isOver() || m_exchange->write(data);
}

void ForwardedRequest::setWritableFunction(std::function<void()> function)
{
    if (!isOver()) {
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
        exchange->answer(answer.status, withEcho(answer.headers), answer.body);
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
    HttpHeaders headers{{"content-type", "application/json"}, {std::string(wire::outcome), std::string(nameOf(refusal.outcome))}};
    if (refusal.retryAfter > Duration::zero()) {
        headers.emplace_back(wire::retryAfter, std::to_string(std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter).count()));
    }
    if (m_source == RequestForwarder::Source::Peer && refusal.outcome == Outcome::NotRun) {
        headers.emplace_back(wire::reason, nameOf(refusal.reason));
    }
    exchange->answer(refusal.status, withEcho(std::move(headers)), refusalBody(refusal));
}

void ForwardedRequest::reset()
{
    if (const auto exchange = takeExchange()) {
        exchange->reset();
    }
}

void ForwardedRequest::callerGone()
{
    takeExchange();
}

HttpHeaders ForwardedRequest::withEcho(HttpHeaders headers) const
{
    if (!m_peerRequestId.empty()) {
        headers.emplace_back(wire::requestId, m_peerRequestId);
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
