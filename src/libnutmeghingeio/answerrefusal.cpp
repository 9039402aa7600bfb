#include "answerrefusal.h"

#include "fencetext.h"
#include "notrunreasonname.h"
#include "numberparsing.h"
#include "wireheaders.h"

namespace nutmeghinge {

namespace {

constexpr std::uint16_t conflictStatus = 409;
constexpr std::int64_t maxRetryAfterS = 86400;

std::optional<Duration> retryAfterOf(const HttpAnswerHead &head)
{
    const std::optional<std::uint64_t> seconds = parseNumber(findHeader(head.headers, wire::retryAfter).value_or(""));
    if (!seconds || *seconds > maxRetryAfterS) {
        return std::nullopt;
    }
    return std::chrono::seconds(*seconds);
}

AttemptNotRun refusalOfTarget(const HttpAnswerHead &head)
{
    AttemptNotRun refusal{.reason = NotRunReason::Overloaded, .retryAfter = retryAfterOf(head), .newerFence = {}, .status = head.status};
    if (head.status == conflictStatus) {
        refusal.reason = NotRunReason::StaleFence;
        refusal.newerFence = fenceFromText(findHeader(head.headers, wire::newerFence).value_or(""));
    }
    return refusal;
}

AttemptNotRun refusalOfPeer(const HttpAnswerHead &head)
{
    const std::optional<NotRunReason> reason = notRunReasonOf(findHeader(head.headers, wire::reason).value_or(""));
    const std::optional<std::uint64_t> milliseconds = parseNumber(findHeader(head.headers, wire::retryAfterMs).value_or(""));
    const bool exact = milliseconds && *milliseconds <= static_cast<std::uint64_t>(maxRetryAfterS) * 1000;
    const std::optional<Duration> retryAfter = exact ? std::optional<Duration>(std::chrono::milliseconds(*milliseconds)) : retryAfterOf(head);
    return {.reason = reason.value_or(NotRunReason::Overloaded), .retryAfter = retryAfter, .newerFence = {}, .status = head.status};
}

} // namespace

std::optional<std::variant<AttemptNotRun, AttemptUnknown>> refusalOf(const HttpAnswerHead &head, AttemptDestination from)
{
    const std::string_view outcome = findHeader(head.headers, wire::outcome).value_or("");
    if (outcome == wire::notRun) {
        return from == AttemptDestination::Target ? refusalOfTarget(head) : refusalOfPeer(head);
    }
    if (outcome == wire::unknown) {
        AttemptUnknown refusal{.reason = AttemptUnknown::Reason::PeerUnknown, .answerBegun = false, .status = head.status};
        const std::optional<std::uint64_t> crashed = parseNumber(findHeader(head.headers, wire::crashedTarget).value_or(""));
        if (crashed && from == AttemptDestination::Peer) {
            refusal.crashedTarget = TargetRun(*crashed);
        }
        if (from == AttemptDestination::Peer && findHeader(head.headers, wire::workTimeExpired)) {
            refusal.reason = AttemptUnknown::Reason::WorkTimeExpired;
        }
        if (from == AttemptDestination::Peer) {
            refusal.peerCause = unknownCauseOf(findHeader(head.headers, wire::unknownCause).value_or(""));
        }
        return refusal;
    }
    return std::nullopt;
}

} // namespace nutmeghinge
