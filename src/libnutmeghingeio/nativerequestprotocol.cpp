#include "nativerequestprotocol.h"

#include "fencetext.h"
#include "numberparsing.h"
#include "targetstatementreader.h"
#include "wireheaders.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

constexpr std::string_view waitPreference = "wait=";
constexpr std::uint64_t maxTimeoutMs = 86400000;

} // namespace

std::string_view nameOf(Outcome outcome)
{
    return outcome == Outcome::NotRun ? wire::notRun : wire::unknown;
}

std::optional<Duration> timeoutOfMilliseconds(std::optional<std::uint64_t> milliseconds)
{
    if (!milliseconds) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(std::min(*milliseconds, maxTimeoutMs));
}

bool NativeRequestProtocol::isReserved(std::string_view headerName) const
{
    return headerName.starts_with(wire::prefix);
}

void NativeRequestProtocol::setCallerHeaders(HttpHeaders &) const { }

/** Returns the timeout that a caller states as "Prefer: wait=SECONDS". */
std::optional<Duration> NativeRequestProtocol::timeout(const HttpHeaders &received) const
{
    for (const auto &[name, value] : received) {
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

std::string NativeRequestProtocol::callerId(const HttpHeaders &) const
{
    return {};
}

std::string NativeRequestProtocol::callerIdentity(const HttpHeaders &forwarded) const
{
    return std::string(findHeader(forwarded, "authorization").value_or(""));
}

HttpHeaders NativeRequestProtocol::targetHeaders(const HttpHeaders &forwarded, const TargetCall &call) const
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(call.timeLeft);
    HttpHeaders headers{{std::string(wire::shard), std::to_string(call.shard.value())},
                        {std::string(wire::fence), fenceToText(call.fence)},
                        {std::string(wire::requestId), call.attemptId},
                        {std::string(wire::deadline), std::to_string(left.count())}};
    std::ranges::copy(forwarded, std::back_inserter(headers));
    return headers;
}

bool NativeRequestProtocol::isAnswerToCall(const HttpAnswerHead &head, const HttpHeaders &, const TargetCall &call) const
{
    return findHeader(head.headers, wire::requestId).value_or(call.attemptId) == call.attemptId;
}

std::optional<std::variant<AttemptNotRun, AttemptUnknown>> NativeRequestProtocol::refusalOf(const HttpAnswerHead &head) const
{
    return nutmeghinge::refusalOf(head, AttemptDestination::Target);
}

TargetStatement NativeRequestProtocol::statementOf(const HttpAnswerHead &head) const
{
    return readTargetStatement(head.headers, {.limit = wire::targetLimit, .leaving = wire::targetLeaving});
}

HttpHeaders NativeRequestProtocol::refusalHeaders(const RefuseRequest &refusal) const
{
    HttpHeaders headers{{"content-type", "application/json"}, {std::string(wire::outcome), std::string(nameOf(refusal.outcome))}};
    if (refusal.retryAfter > Duration::zero()) {
        headers.emplace_back(wire::retryAfter, std::to_string(std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter).count()));
    }
    return headers;
}

} // namespace nutmeghinge
