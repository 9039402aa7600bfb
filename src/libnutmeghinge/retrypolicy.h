#pragma once

#include "events.h"
#include "pseudorandom.h"
#include "refusal.h"
#include "request.h"
#include "retrybudget.h"

#include <variant>

namespace nutmeghinge {

/** Send the request again now. */
struct RetryNow {
};

/** Send the request again at this time. */
struct RetryAt {
    MonotonicTime at;
};

/** Wait for another owner of the shard; ask the present one again at this time. */
struct AwaitOwner {
    MonotonicTime at;
};

/** Answer the request with a refusal. */
struct GiveUp {
    Refusal refusal;
};

using RetryDecision = std::variant<RetryNow, RetryAt, AwaitOwner, GiveUp>;

/**
 * Decides what follows on an attempt without an answer. Retries that may put
 * load on a target are paid from the budget; retries while ownership moves are
 * paced by an exponential delay with jitter instead.
 */
class RetryPolicy
{
public:
    explicit RetryPolicy(std::uint64_t seed);

    /** A request came to the node. */
    void requestArrived(std::uint32_t retryPercent) { m_budget.earn(retryPercent); }
    RetryDecision afterNotRun(const Request &request, const AttemptNotRun &result, MonotonicTime now);
    /** Only for requests that may be sent again. */
    RetryDecision afterUnknown(const Request &request, const AttemptUnknown &result, MonotonicTime now);

    /** Retries that the budget did not allow. */
    std::uint64_t denied() const { return m_denied; }

private:
    RetryDecision afterOwnerRefusal(const Request &request, MonotonicTime now);
    RetryDecision afterNotConnected(const Request &request, MonotonicTime now);
    RetryDecision afterOverload(const Request &request, Duration retryAfter, MonotonicTime now);
    bool spend();
    MonotonicTime backoff(std::uint32_t failures, MonotonicTime now);

    RetryBudget m_budget;
    PseudoRandom m_random;
    std::uint64_t m_denied = 0;
};

} // namespace nutmeghinge
