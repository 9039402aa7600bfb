#include "retrypolicy.h"

#include "document.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

constexpr Duration firstBackoff = std::chrono::milliseconds(20);
constexpr std::uint32_t maximumBackoffDoublings = 4;
constexpr Duration minimumRetryAfter = std::chrono::milliseconds(100);
constexpr std::uint32_t maximumReplicasTried = 3;
/** Shares of the document's retries for requests from callers and for forwarded ones. The rest covers calls that repeated requests make again. */
constexpr double entryShare = 0.7;
constexpr double forwardedShare = 0.2;
constexpr double percent = 0.01;

GiveUp giveUp(NotRunReason reason, Duration retryAfter, std::string detail)
{
    return GiveUp{{503, reason, std::max(retryAfter, minimumRetryAfter), std::move(detail)}};
}

/** Returns whether another node forwarded the request. Only the node that received a request from its caller waits for an owner. */
bool isFromPeer(const Request &request)
{
    return request.hops > 0;
}

} // namespace

RetryPolicy::RetryPolicy(std::uint64_t seed)
    : m_random(seed)
{
}

void RetryPolicy::setLimits(const Document &document, std::size_t members)
{
    const double ratio = document.retryPercent * percent;
    const double reserve = static_cast<double>(document.retryReserve) / static_cast<double>(std::max<std::size_t>(members, 1));
    m_entryBudget.setLimits({ratio * entryShare, reserve * entryShare, document.retryWindow});
    m_forwardedBudget.setLimits({ratio * forwardedShare, reserve * forwardedShare, document.retryWindow});
}

void RetryPolicy::recordArrival(const Request &request, MonotonicTime now)
{
    budgetOf(request).recordRequest(request.service, now);
}

RetryDecision RetryPolicy::decideAfterNotRun(const Request &request, const AttemptNotRun &result, MonotonicTime now)
{
    const Duration retryAfter = result.retryAfter.value_or(Duration::zero());
    if (result.reason == NotRunReason::BadRequest) {
        const std::uint16_t status = result.status == 0 ? 400 : result.status;
        return GiveUp{{status, NotRunReason::BadRequest, retryAfter, "the receiver refused the request as invalid"}};
    }
    if (now >= request.sendDeadline()) {
        return giveUp(NotRunReason::DeadlineExpired, retryAfter, "the request's deadline expired");
    }
    if (result.reason == NotRunReason::TargetsCrashed) {
        return giveUp(result.reason, retryAfter, "targets crashed while they ran this request");
    }
    if (request.ownerReplaced) {
        return RetryNow{};
    }
    if (isFromPeer(request) && request.destination != Request::Destination::Target) {
        return giveUp(result.reason, retryAfter, "the owner did not accept the request");
    }
    switch (result.reason) {
    case NotRunReason::NotConnected:
        return decideAfterNotConnected(request, now);
    case NotRunReason::Overloaded:
        return decideAfterOverload(request, result, now);
    case NotRunReason::DeadlineExpired:
        // The owner kept the request until it could no longer be answered in time; another owner could not answer it either.
        return giveUp(NotRunReason::DeadlineExpired, retryAfter, "no slot of the target became free in time");
    default:
        return decideAfterOwnerRefusal(request, now);
    }
}

RetryDecision RetryPolicy::decideAfterUnknown(const Request &request, const AttemptUnknown &result, MonotonicTime now)
{
    if (request.ownerReplaced && now < request.sendDeadline()) {
        return RetryNow{};
    }
    const bool late = result.reason == AttemptUnknown::Reason::DeadlineExpired;
    const std::uint16_t status = late ? 504 : 502;
    const GiveUp refuse{
        {result.status == 0 ? status : result.status, NotRunReason::Overloaded, {}, "the answer did not arrive completely; the request may have run"}};
    if (now >= request.sendDeadline() || !spend(request, now)) {
        return refuse;
    }
    if (request.attempts == 1) {
        return RetryNow{};
    }
    const MonotonicTime at = backoff(request.attempts, now);
    return at < request.sendDeadline() ? RetryDecision(RetryAt{at}) : refuse;
}

RetryDecision RetryPolicy::decideAfterOwnerRefusal(const Request &request, MonotonicTime now)
{
    if (isFromPeer(request)) {
        return giveUp(NotRunReason::NotOwner, {}, "neither this node nor its target may run the request now");
    }
    const MonotonicTime at = backoff(request.ownerRefusals, now);
    if (request.sharded) {
        return AwaitOwner{at};
    }
    if (request.ownerRefusals <= 1) {
        return RetryNow{};
    }
    return at < request.sendDeadline() ? RetryDecision(RetryAt{at}) : giveUp(NotRunReason::NotOwner, {}, "no node accepted the request");
}

RetryDecision RetryPolicy::decideAfterNotConnected(const Request &request, MonotonicTime now)
{
    if (request.attempts == 1 && spend(request, now)) {
        return RetryNow{};
    }
    const MonotonicTime at = backoff(request.attempts, now);
    if (request.sharded && request.destination == Request::Destination::Member) {
        return AwaitOwner{at};
    }
    if (request.attempts > 1 && at < request.sendDeadline() && spend(request, now)) {
        return RetryAt{at};
    }
    return giveUp(NotRunReason::NotConnected, {}, "no connection to the target or to its node");
}

RetryDecision RetryPolicy::decideAfterOverload(const Request &request, const AttemptNotRun &result, MonotonicTime now)
{
    const Duration retryAfter = result.retryAfter.value_or(Duration::zero());
    const bool refusedByTarget = request.destination == Request::Destination::Target;
    const MonotonicTime at = std::max(backoff(request.attempts, now), now + retryAfter);
    if (refusedByTarget && request.sharded && at < request.sendDeadline() && spend(request, now)) {
        return RetryAt{at};
    }
    const bool hasReplicas = !request.sharded && request.deduplicationKey.empty() && request.otherHost.empty() && !isFromPeer(request);
    // A request that no target has got yet adds nothing to the load of the targets.
    const bool free = result.notSent && request.attempts == 1;
    if (hasReplicas && request.attempts < maximumReplicasTried && (free || spend(request, now))) {
        return RetryNow{};
    }
    return giveUp(NotRunReason::Overloaded, retryAfter, "the target is overloaded");
}

RetryBudget &RetryPolicy::budgetOf(const Request &request)
{
    return isFromPeer(request) ? m_forwardedBudget : m_entryBudget;
}

bool RetryPolicy::spend(const Request &request, MonotonicTime now)
{
    const bool allowed = budgetOf(request).spend(request.service, now);
    m_denied += allowed ? 0 : 1;
    return allowed;
}

MonotonicTime RetryPolicy::backoff(std::uint32_t failures, MonotonicTime now)
{
    const Duration full = firstBackoff * (1 << std::min(failures == 0 ? 0 : failures - 1, maximumBackoffDoublings));
    const Duration half = full / 2;
    return now + half + Duration(static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>(half.count()))));
}

} // namespace nutmeghinge
