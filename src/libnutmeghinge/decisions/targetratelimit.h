#pragma once

#include "requestrate.h"
#include "units.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace nutmeghinge {

struct TargetStatement;

/**
 * Keeps the requests sent to the target beside this node within the limit that
 * the target names in its answers: the requests per second that it takes from all
 * nodes together. Answers an overload that only the target itself sees; every
 * request reaches the target through this node, whichever node it began at.
 *
 * The lowest limit named recently counts, and it ends only after it has not been
 * named for a while, so that it stays in force if the target names it with some
 * of its answers only. Requests are paced by a token bucket. When a limit begins
 * or falls, requests sent shortly before count against it.
 */
class TargetRateLimit
{
public:
    /** Effect of a statement on the limit. */
    enum class Change : std::uint8_t {
        None,
        /** The target had no limit before. */
        Named,
        Lowered,
        Raised,
        Ended,
    };

    /** Applies what an answer of the target says. An unreadable limit changes nothing. */
    Change stated(const TargetStatement &statement, MonotonicTime now);
    /** Applies a limit that another node knows of. It counts only until the target has answered this node. */
    Change relayed(RequestRate rate, MonotonicTime now);
    /** Forgets the limit, because the target is a new incarnation. */
    void reset();

    /** Returns the limit in force; empty if there is none. */
    std::optional<RequestRate> rate() const { return m_rate; }
    /** Returns the limit for placing keys and requests: that in force, or one that ended a short time ago, so that nothing moves back and forth. */
    std::optional<RequestRate> placingRate(MonotonicTime now) const;
    /** Returns the time at which an answer last named a limit. */
    MonotonicTime namedAt() const { return m_namedAt; }

    /** Returns whether the limit allows a further request now. */
    bool maySend(MonotonicTime now) const;
    /** Counts a request that is sent to the target. */
    void sent(MonotonicTime now);
    /** Returns the expected time until a request may be sent that waits behind the given number of others. */
    Duration waitBehind(std::size_t requests, MonotonicTime now) const;

private:
    /** Number of requests sent in a part of the recent past. */
    struct SentPart {
        MonotonicTime startedAt;
        std::uint32_t requests = 0;
    };

    Change named(RequestRate rate, MonotonicTime now);
    void beginPacing(MonotonicTime now);
    /** Returns how long a limit stays in force after it was last named. */
    Duration lingerTime() const;
    /** Returns the requests per second that are sent under the limit. */
    double pace() const;
    double tokens(MonotonicTime now) const;

    std::optional<RequestRate> m_rate;
    MonotonicTime m_namedAt;
    /** Limit that ended last, and when. */
    std::optional<RequestRate> m_endedRate;
    MonotonicTime m_endedAt;
    /** Time at which the limit in force, or a lower one, was last named. */
    MonotonicTime m_confirmedAt;
    /** The target has answered this node. */
    bool m_heardTarget = false;
    /** Requests that may be sent at once, at the time below; negative while earlier ones are made up for. */
    double m_tokens = 0;
    MonotonicTime m_tokensAt;
    std::deque<SentPart> m_sentParts;
};

} // namespace nutmeghinge
