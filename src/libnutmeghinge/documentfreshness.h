#pragma once

#include "units.h"

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
    /** Records a call about documents that the platform answered. sentAt: when the call was sent; later changes need not be in its answer. */
    void confirmedByPlatform(MonotonicTime sentAt);

    /** Returns the latest time at which this node's document was known to be the newest; empty before the first. */
    std::optional<MonotonicTime> confirmedAt() const { return m_byPlatform; }
    /** Returns the time since the document was last known to be the newest; empty if it never was. */
    std::optional<Duration> age(MonotonicTime now) const;

private:
    std::optional<MonotonicTime> m_byPlatform;
};

} // namespace nutmeghinge
