#include "retrypolicy.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

constexpr Duration firstBackoff = std::chrono::milliseconds(20);
constexpr std::uint32_t maximumBackoffDoublings = 4;
constexpr Duration defaultRetryAfter = std::chrono::seconds(1);
constexpr std::uint32_t maximumReplicasTried = 3;

GiveUp giveUp(NotRunReason reason, Duration retryAfter, std::string detail)
{
    return GiveUp{{503, reason, std::max(retryAfter, defaultRetryAfter), std::move(detail)}};
}

/** Only the node that took the request from its caller waits for ownership. */
bool isFromPeer(const Request &request)
{
    return request.hops > 0;
}

} // namespace

RetryPolicy::RetryPolicy(std::uint64_t seed)
    : m_random(seed)
{
}

RetryDecision RetryPolicy::afterNotRun(const Request &request, const AttemptNotRun &result, MonotonicTime now)
{
    const Duration retryAfter = result.retryAfter.value_or(Duration::zero());
    if (result.reason == NotRunReason::BadRequest) {
        const std::uint16_t status = result.status == 0 ? 400 : result.status;
        return GiveUp{{status, NotRunReason::BadRequest, retryAfter, "refused by the other side"}};
    }
    if (now >= request.deadline) {
        return giveUp(NotRunReason::DeadlineExpired, retryAfter, "deadline expired");
    }
    if (request.replaced) {
        return RetryNow{};
    }
    if (isFromPeer(request) && request.destination != Request::Destination::Target) {
        return giveUp(result.reason, retryAfter, "the owner did not take the request");
    }
    switch (result.reason) {
    case NotRunReason::NotConnected:
        return afterNotConnected(request, now);
    case NotRunReason::Overloaded:
        return afterOverload(request, retryAfter, now);
    default:
        return afterOwnerRefusal(request, now);
    }
}

RetryDecision RetryPolicy::afterUnknown(const Request &request, const AttemptUnknown &result, MonotonicTime now)
{
    if (request.replaced && now < request.deadline) {
        return RetryNow{};
    }
    const bool late = result.reason == AttemptUnknown::Reason::DeadlineExpired;
    const std::uint16_t status = late ? 504 : 502;
    const GiveUp refuse{{result.status == 0 ? status : result.status, NotRunReason::Overloaded, {}, "no whole answer came"}};
    if (now >= request.deadline || !spend()) {
        return refuse;
    }
    if (request.attempts == 1) {
        return RetryNow{};
    }
    const MonotonicTime at = backoff(request.attempts, now);
    return at < request.deadline ? RetryDecision(RetryAt{at}) : refuse;
}

RetryDecision RetryPolicy::afterOwnerRefusal(const Request &request, MonotonicTime now)
{
    if (isFromPeer(request)) {
        return giveUp(NotRunReason::NotOwner, {}, "this node may not run the request");
    }
    const MonotonicTime at = backoff(request.ownerRefusals, now);
    if (request.divided) {
        return AwaitOwner{at};
    }
    if (request.ownerRefusals <= 1) {
        return RetryNow{};
    }
    return at < request.deadline ? RetryDecision(RetryAt{at}) : giveUp(NotRunReason::NotOwner, {}, "no node took the request");
}

RetryDecision RetryPolicy::afterNotConnected(const Request &request, MonotonicTime now)
{
    if (request.attempts == 1 && spend()) {
        return RetryNow{};
    }
    const MonotonicTime at = backoff(request.attempts, now);
    if (request.divided && request.destination == Request::Destination::Member) {
        return AwaitOwner{at};
    }
    if (request.attempts > 1 && at < request.deadline && spend()) {
        return RetryAt{at};
    }
    return giveUp(NotRunReason::NotConnected, {}, "no connection");
}

RetryDecision RetryPolicy::afterOverload(const Request &request, Duration retryAfter, MonotonicTime now)
{
    const bool onTarget = request.destination == Request::Destination::Target;
    const MonotonicTime at = std::max(backoff(request.attempts, now), now + retryAfter);
    if (onTarget && request.divided && at < request.deadline && spend()) {
        return RetryAt{at};
    }
    const bool hasReplicas = !request.divided && request.deduplicationKey.empty() && request.otherHost.empty() && !isFromPeer(request);
    if (hasReplicas && request.attempts < maximumReplicasTried && spend()) {
        return RetryNow{};
    }
    return giveUp(NotRunReason::Overloaded, retryAfter, "overloaded");
}

bool RetryPolicy::spend()
{
    const bool allowed = m_budget.spend();
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
