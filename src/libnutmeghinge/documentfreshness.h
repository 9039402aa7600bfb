#pragma once

#include "units.h"

#include <algorithm>
#include <optional>

namespace nutmeghinge {

/**
 * Tracks when this node last knew that no newer document than its own was
 * accepted. A document that comes into force later was accepted after that, so
 * the time since then bounds its delay. Times are on the node's own clock.
 * Owned by the CellContext.
 */
class DocumentFreshness
{
public:
    /** Records that the platform had no newer document at the given time. */
    void confirmedByPlatform(MonotonicTime at);
    /** Records that the coordinator knew of no newer document at the given time. */
    void confirmedByCoordinator(MonotonicTime at);

    /** Returns whether the coordinator would have told this node of a newer document that the platform accepted a while ago. */
    bool isConfirmedByCoordinator(MonotonicTime now) const;
    /** Returns the latest time at which this node's document was known to be the newest; empty before the first. */
    std::optional<MonotonicTime> confirmedAt() const { return std::max(m_byPlatform, m_byCoordinator); }
    /** Returns the time since the platform last confirmed it to this node itself; empty if it never did. */
    std::optional<Duration> ageByPlatform(MonotonicTime now) const;
    /** Returns the time since the document was last known to be the newest; empty if it never was. */
    std::optional<Duration> age(MonotonicTime now) const;

private:
    std::optional<MonotonicTime> m_byPlatform;
    std::optional<MonotonicTime> m_byCoordinator;
};

} // namespace nutmeghinge
