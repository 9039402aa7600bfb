#pragma once

#include "events.h"
#include "pseudorandom.h"
#include "refusal.h"
#include "request.h"
#include "retrybudget.h"

#include <variant>

namespace nutmeghinge {

struct Document;

/** Send the request again now. */
struct RetryNow {
};

/** Send the request again at this time. */
struct RetryAt {
    MonotonicTime at;
};

/** Wait until the shard has another owner; send the request to the present owner again at this time. */
struct AwaitOwner {
    MonotonicTime at;
};

/** Refuse the request. */
struct GiveUp {
    Refusal refusal;
};

using RetryDecision = std::variant<RetryNow, RetryAt, AwaitOwner, GiveUp>;

/**
 * Decides how to continue after an attempt without an answer. Retries that may
 * add load to a target are charged to the retry budget. Retries during an
 * ownership change are not; they are delayed by an exponential backoff with
 * jitter.
 */
class RetryPolicy
{
public:
    explicit RetryPolicy(std::uint64_t seed);

    /** Sets the retries that the document allows in a cell with this number of members. */
    void setLimits(const Document &document, std::size_t members);
    /** Counts a request that arrived at the node for the retry budget of its service. */
    void recordArrival(const Request &request, MonotonicTime now);
    /** Decides after an attempt that certainly was not run. */
    RetryDecision decideAfterNotRun(const Request &request, const AttemptNotRun &result, MonotonicTime now);
    /** Decides after an attempt with an unknown outcome. Only for requests that may be sent again. */
    RetryDecision decideAfterUnknown(const Request &request, const AttemptUnknown &result, MonotonicTime now);

    /** Returns the number of retries that the budget did not allow. */
    std::uint64_t denied() const { return m_denied; }

private:
    RetryDecision decideAfterOwnerRefusal(const Request &request, MonotonicTime now);
    RetryDecision decideAfterNotConnected(const Request &request, MonotonicTime now);
    RetryDecision decideAfterOverload(const Request &request, const AttemptNotRun &result, MonotonicTime now);
    RetryBudget &budgetOf(const Request &request);
    bool spend(const Request &request, MonotonicTime now);
    MonotonicTime backoff(std::uint32_t failures, MonotonicTime now);

    /** For requests that arrived from callers. */
    RetryBudget m_entryBudget;
    /** For requests that another node forwarded, which that node has counted too. */
    RetryBudget m_forwardedBudget;
    PseudoRandom m_random;
    std::uint64_t m_denied = 0;
};

} // namespace nutmeghinge
