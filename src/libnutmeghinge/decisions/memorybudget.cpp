#include "memorybudget.h"

#include "memorycharge.h"

#include <algorithm>
#include <cassert>

namespace nutmeghinge {

namespace {

/** What is left is for what the process itself needs, and for what its allocator cannot return at once. */
constexpr std::uint64_t clientShareDivisor = 2;
constexpr std::uint64_t controlShareDivisor = 8;
constexpr std::uint64_t smallReserveDivisor = 8;

MemoryBudget::Limits limitsOf(std::uint64_t total)
{
    MemoryBudget::Limits limits;
    limits.total = total;
    limits.smallReserve = total / smallReserveDivisor;
    return limits;
}

} // namespace

MemoryBudget::Limits MemoryBudget::limitsFor(std::uint64_t memoryBytes)
{
    return limitsOf(memoryBytes / clientShareDivisor);
}

MemoryBudget::Limits MemoryBudget::limitsForControl(std::uint64_t memoryBytes)
{
    return limitsOf(memoryBytes / controlShareDivisor);
}

bool MemoryBudget::resize(MemoryCharge &charge, std::uint64_t bytes, MonotonicTime now)
{
    while (bytes > charge.m_bytes && !(fitsTotal(charge, bytes) && fitsLargeShare(charge, bytes))) {
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

bool MemoryBudget::isLarge(const MemoryCharge &charge, std::uint64_t bytes) const
{
    return charge.m_when == MemoryCharge::Reclaim::Always && bytes > m_limits.smallBytes;
}

bool MemoryBudget::isLarge(const MemoryCharge &charge) const
{
    return isLarge(charge, charge.m_bytes);
}

std::uint64_t MemoryBudget::bytesOf(const MemoryCharge &charge)
{
    return charge.m_bytes;
}

bool MemoryBudget::fitsLargeShare(const MemoryCharge &charge, std::uint64_t bytes) const
{
    const std::uint64_t others = m_usedByLarge - (isLarge(charge) ? charge.m_bytes : 0);
    return !isLarge(charge, bytes) || others + bytes <= m_limits.total - m_limits.smallReserve;
}

MemoryCharge *MemoryBudget::chooseVictim(const MemoryCharge &requester, std::uint64_t bytes, MonotonicTime now) const
{
    const bool isLargeRequester = isLarge(requester, bytes);
    const bool fitsShare = fitsLargeShare(requester, bytes);
    MemoryCharge *chosen = nullptr;
    for (MemoryCharge *candidate : m_reclaimable) {
        const bool isRequester = candidate == &requester;
        const bool stalled = isStalled(*candidate, now);
        // A large charge takes no room from small ones at work, and their memory does not extend its share.
        const bool helps = !isLargeRequester || isLarge(*candidate) || (stalled && fitsShare);
        const bool allowed = candidate->m_when == MemoryCharge::Reclaim::Always || stalled;
        const bool has = candidate->m_bytes > 0 && !candidate->m_inUse;
        if (!allowed || (!isRequester && !(has && helps))) {
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
    if (isLarge(left) != isLarge(right)) {
        return isLarge(left);
    }
    return left.m_number > right.m_number;
}

void MemoryBudget::setBytes(MemoryCharge &charge, std::uint64_t bytes)
{
    assert(m_used >= charge.m_bytes);
    m_used += bytes - charge.m_bytes;
    m_usedByLarge -= isLarge(charge) ? charge.m_bytes : 0;
    m_usedByLarge += isLarge(charge, bytes) ? bytes : 0;
    m_highest = std::max(m_highest, m_used);
    charge.m_bytes = bytes;
}

} // namespace nutmeghinge
