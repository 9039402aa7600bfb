#pragma once

#include "units.h"

#include <cstdint>
#include <unordered_set>

namespace nutmeghinge {

class MemoryCharge;

/**
 * Limits the memory that a process holds for its clients, all listeners together.
 * Whoever holds bytes for a client charges them with a MemoryCharge. If there is no
 * room for more, memory is reclaimed from clients that have not sent or read their
 * data completely: first from those that make no progress, the largest first; then
 * from the newest. The oldest client that makes progress is therefore always able to
 * complete, and clients that each hold a part never wait for one another. A share
 * is reserved for small holders. Answers on their way to clients that read them are
 * never reclaimed, and may take that share too.
 */
class MemoryBudget
{
public:
    struct Limits {
        /** Most bytes that all charges hold together. */
        std::uint64_t total = 0;
        /** Part of the total that only small charges may hold, in bytes. */
        std::uint64_t smallReserve = 0;
        /** Largest size of a small charge, in bytes. */
        std::uint64_t smallBytes = 65536;
        /** Time without progress after which a charge is reclaimed before all others. */
        Duration stallTime{std::chrono::seconds(1)};
    };

    explicit MemoryBudget(const Limits &limits)
        : m_limits(limits)
    {
    }
    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;

    /** Returns the limits for a process that may use the given memory, in bytes. */
    static Limits limitsFor(std::uint64_t memoryBytes);
    /** Returns the limits for control messages of other nodes, which are not part of limitsFor(). */
    static Limits limitsForControl(std::uint64_t memoryBytes);

    const Limits &limits() const { return m_limits; }
    /** Returns the bytes that all charges hold. */
    std::uint64_t used() const { return m_used; }
    /** Returns the most bytes that all charges have held together. */
    std::uint64_t highest() const { return m_highest; }
    /** Returns the number of charges that did not fit or were reclaimed. */
    std::uint64_t refused() const { return m_refused; }

private:
    friend class MemoryCharge;

    /** Returns whether the charge, with this number of bytes, is one of those whose share is limited. */
    bool isLarge(const MemoryCharge &charge, std::uint64_t bytes) const;
    bool isLarge(const MemoryCharge &charge) const;
    /** Changes the bytes of a charge, after reclaiming others if necessary. Returns false, without changing it, if it does not fit. */
    bool resize(MemoryCharge &charge, std::uint64_t bytes, MonotonicTime now);
    bool fitsTotal(const MemoryCharge &charge, std::uint64_t bytes) const { return m_used - bytesOf(charge) + bytes <= m_limits.total; }
    bool fitsLargeShare(const MemoryCharge &charge, std::uint64_t bytes) const;
    static std::uint64_t bytesOf(const MemoryCharge &charge);
    /** Returns the charge from which to reclaim memory next so that another one can grow to this size; null if there is none. */
    MemoryCharge *chooseVictim(const MemoryCharge &requester, std::uint64_t bytes, MonotonicTime now) const;
    bool isStalled(const MemoryCharge &charge, MonotonicTime now) const;
    bool isReclaimedBefore(const MemoryCharge &left, const MemoryCharge &right, MonotonicTime now) const;
    void setBytes(MemoryCharge &charge, std::uint64_t bytes);

    Limits m_limits;
    std::uint64_t m_used = 0;
    std::uint64_t m_usedByLarge = 0;
    std::uint64_t m_highest = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_lastCharge = 0;
    /** Charges with a function to reclaim their memory. */
    std::unordered_set<MemoryCharge *> m_reclaimable;
};

} // namespace nutmeghinge
