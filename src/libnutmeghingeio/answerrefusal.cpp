#include "answerrefusal.h"

#include "notrunreasonname.h"
#include "numberparsing.h"
#include "wireheaders.h"

namespace nutmeghinge {

namespace {

constexpr std::uint16_t conflictStatus = 409;
constexpr std::int64_t maxRetryAfterS = 86400;

std::optional<Fence> parseFence(std::string_view text)
{
    const std::size_t dot = text.find('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const std::optional<std::uint64_t> term = parseNumber(text.substr(0, dot));
    const std::optional<std::uint64_t> sequence = parseNumber(text.substr(dot + 1));
    if (!term || !sequence) {
        return std::nullopt;
    }
    return Fence{.term = Term(*term), .sequence = *sequence};
}

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
    AttemptNotRun refusal{.reason = NotRunReason::Overloaded, .retryAfter = retryAfterOf(head), .newerFence = {}};
    if (head.status == conflictStatus) {
        refusal.reason = NotRunReason::StaleFence;
        refusal.newerFence = parseFence(findHeader(head.headers, wire::newerFence).value_or(""));
    }
    return refusal;
}

AttemptNotRun refusalOfPeer(const HttpAnswerHead &head)
{
    const std::optional<NotRunReason> reason = notRunReasonOf(findHeader(head.headers, wire::reason).value_or(""));
    return {.reason = reason.value_or(NotRunReason::Overloaded), .retryAfter = retryAfterOf(head), .newerFence = {}};
}

} // namespace

std::optional<std::variant<AttemptNotRun, AttemptUnknown>> refusalOf(const HttpAnswerHead &head, AttemptDestination from)
{
    const std::string_view outcome = findHeader(head.headers, wire::outcome).value_or("");
    if (outcome == wire::notRun) {
        return from == AttemptDestination::Target ? refusalOfTarget(head) : refusalOfPeer(head);
    }
    if (outcome == wire::unknown) {
        return AttemptUnknown{.reason = AttemptUnknown::Reason::PeerUnknown, .answerBegun = false};
    }
    return std::nullopt;
}

} // namespace nutmeghinge
