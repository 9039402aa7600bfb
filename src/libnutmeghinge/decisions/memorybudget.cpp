#include "memorybudget.h"

#include "memorycharge.h"

#include <algorithm>
#include <cassert>

namespace nutmeghinge {

namespace {

/** The other half is for what the process itself needs, and for what its allocator cannot return at once. */
constexpr std::uint64_t clientShareDivisor = 2;
constexpr std::uint64_t smallReserveDivisor = 8;

} // namespace

MemoryBudget::Limits MemoryBudget::limitsFor(std::uint64_t memoryBytes)
{
    Limits limits;
    limits.total = memoryBytes / clientShareDivisor;
    limits.smallReserve = limits.total / smallReserveDivisor;
    return limits;
}

bool MemoryBudget::resize(MemoryCharge &charge, std::uint64_t bytes, MonotonicTime now)
{
    while (bytes > charge.m_bytes && !fits(charge, bytes)) {
        MemoryCharge *victim = chooseVictim(charge, bytes, now);
        ++m_refused;
        if (victim == nullptr || victim == &charge) {
            return false;
        }
        // The victim may be destroyed by the call.
        const MemoryCharge::ReclaimFunction reclaim = victim->m_reclaim;
        const std::uint64_t before = victim->m_bytes;
        reclaim();
        if (m_reclaimable.contains(victim) && victim->m_bytes >= before) {
            victim->m_inUse = true;
        }
    }
    charge.m_inUse = false;
    setBytes(charge, bytes);
    return true;
}

bool MemoryBudget::fits(const MemoryCharge &charge, std::uint64_t bytes) const
{
    const std::uint64_t others = m_used - charge.m_bytes;
    const std::uint64_t otherLarge = m_usedByLarge - (isLarge(charge.m_bytes) ? charge.m_bytes : 0);
    if (others + bytes > m_limits.total) {
        return false;
    }
    return !isLarge(bytes) || otherLarge + bytes <= m_limits.total - m_limits.smallReserve;
}

MemoryCharge *MemoryBudget::chooseVictim(const MemoryCharge &requester, std::uint64_t bytes, MonotonicTime now) const
{
    MemoryCharge *chosen = nullptr;
    for (MemoryCharge *candidate : m_reclaimable) {
        const bool isRequester = candidate == &requester;
        // Memory of small holders does not help a large one, whose share is limited.
        const bool helps = candidate->m_bytes > 0 && (!isLarge(bytes) || isLarge(candidate->m_bytes));
        const bool allowed = candidate->m_when == MemoryCharge::Reclaim::Always || isStalled(*candidate, now);
        if (!isRequester && (candidate->m_inUse || !helps || !allowed)) {
            continue;
        }
        if (chosen == nullptr || isReclaimedBefore(*candidate, *chosen, now)) {
            chosen = candidate;
        }
    }
    return chosen;
}

bool MemoryBudget::isStalled(const MemoryCharge &charge, MonotonicTime now) const
{
    return now - charge.m_lastProgress >= m_limits.stallTime;
}

bool MemoryBudget::isReclaimedBefore(const MemoryCharge &left, const MemoryCharge &right, MonotonicTime now) const
{
    const bool leftStalled = isStalled(left, now);
    const bool rightStalled = isStalled(right, now);
    if (leftStalled != rightStalled) {
        return leftStalled;
    }
    if (leftStalled && left.m_bytes != right.m_bytes) {
        return left.m_bytes > right.m_bytes;
    }
    if (isLarge(left.m_bytes) != isLarge(right.m_bytes)) {
        return isLarge(left.m_bytes);
    }
    return left.m_number > right.m_number;
}

void MemoryBudget::setBytes(MemoryCharge &charge, std::uint64_t bytes)
{
    assert(m_used >= charge.m_bytes);
    m_used += bytes - charge.m_bytes;
    m_usedByLarge -= isLarge(charge.m_bytes) ? charge.m_bytes : 0;
    m_usedByLarge += isLarge(bytes) ? bytes : 0;
    m_highest = std::max(m_highest, m_used);
    charge.m_bytes = bytes;
}

} // namespace nutmeghinge
