#pragma once

#include "units.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace nutmeghinge {

struct Request;

/**
 * Recognises callers that come back after a refusal, by the request and the time
 * at which they stop waiting, which both stay the same. Answers overload: a
 * caller's objective counts from its first attempt, so without this a caller
 * that comes back would be queued as if it had just arrived, and be answered
 * late in place of one that can still be answered in time. Owned by the
 * RequestRouter of the node that refused the caller.
 */
class ReturningCallers
{
public:
    /** Remembers a request that this node refuses as "not run". Does nothing if its caller stated no time limit. */
    void remember(const Request &request, MonotonicTime now);
    /**
     * Returns the end of the objective that the caller's first attempt had, if the request repeats a refused one; nothing otherwise.
     * A refusal is matched by at most one request.
     */
    std::optional<MonotonicTime> takeObjective(const Request &request, MonotonicTime now);

    std::size_t size() const { return m_refused.size(); }

private:
    struct Refused {
        MonotonicTime waitsUntil;
        MonotonicTime objectiveAt;
    };

    void expire(MonotonicTime now);

    /** Refused requests by fingerprint. */
    std::unordered_multimap<std::uint64_t, Refused> m_refused;
    /** Fingerprints in the order of refusal, each with the time at which its caller stops waiting. */
    std::deque<std::pair<MonotonicTime, std::uint64_t>> m_order;
};

} // namespace nutmeghinge
