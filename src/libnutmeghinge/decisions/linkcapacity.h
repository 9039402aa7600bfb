#pragma once

#include "units.h"

#include <cstdint>

namespace nutmeghinge {

/**
 * Limits what is sent in a short time to what the VM's network link carries, as a
 * token bucket. Answers the load of large answers: without it they wait in the
 * queues of the system, where nothing can pass them, neither heartbeats nor small
 * answers. A part of the link is left to what is sent without asking.
 */
class LinkCapacity
{
public:
    /** bytesPerSecond: bandwidth of the link; 0: unlimited. */
    explicit LinkCapacity(double bytesPerSecond);

    bool isUnlimited() const { return m_bytesPerSecond <= 0; }
    /** Returns the bytes per second that may be sent. */
    double bytesPerSecond() const { return m_bytesPerSecond; }
    /** Returns how many bytes should be sent at a time. */
    std::uint64_t chunkBytes() const;
    /** Returns whether a chunk may be sent now. */
    bool maySend(MonotonicTime now) const { return isUnlimited() || available(now) > 0; }
    /** Counts bytes that are sent. More than the available ones delay what is sent later. */
    void sent(std::uint64_t bytes, MonotonicTime now);
    /**
     * Returns the time by which an answer of this size should be sent if it is ready now. Answers that are due first go first: small ones
     * before large ones, but no large one waits for ever behind smaller ones.
     */
    MonotonicTime dueAt(std::uint64_t bytes, MonotonicTime now) const;
    /** Returns the time until maySend() is true for a whole chunk; zero if it is already. */
    Duration timeUntilChunk(MonotonicTime now) const;

private:
    double available(MonotonicTime now) const;
    /** Most bytes that may be sent at once after a pause. */
    double burstBytes() const;

    double m_bytesPerSecond;
    /** Bytes that were available at m_countedAt; negative after more were sent. */
    double m_available = 0;
    MonotonicTime m_countedAt;
};

} // namespace nutmeghinge
