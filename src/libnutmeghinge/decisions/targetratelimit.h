#pragma once

#include "requestrate.h"
#include "units.h"

#include <cstdint>
#include <optional>

namespace nutmeghinge {

struct TargetStatement;

/**
 * The limit that the target beside this node names in its answers: the requests
 * per second that it takes from all nodes together. The lowest limit named
 * recently counts, and it ends only after it has not been named for a while, so
 * that it stays in force if the target names it with some of its answers only.
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
    /** Returns the time at which an answer last named a limit. */
    MonotonicTime namedAt() const { return m_namedAt; }

private:
    Change named(RequestRate rate, MonotonicTime now);
    /** Returns how long a limit stays in force after it was last named. */
    Duration lingerTime() const;

    std::optional<RequestRate> m_rate;
    MonotonicTime m_namedAt;
    /** Time at which the limit in force, or a lower one, was last named. */
    MonotonicTime m_confirmedAt;
    /** The target has answered this node. */
    bool m_heardTarget = false;
};

} // namespace nutmeghinge
