#include "memorycharge.h"

#include "memorybudget.h"

#include <cassert>
#include <utility>

namespace nutmeghinge {

MemoryCharge::MemoryCharge(MemoryBudget *budget, MonotonicTime now)
    : m_budget(budget)
{
    restart(now);
}

MemoryCharge::~MemoryCharge()
{
    release();
    setReclaimFunction(nullptr);
}

void MemoryCharge::setReclaimFunction(ReclaimFunction function, Reclaim reclaim)
{
    m_reclaim = std::move(function);
    if (m_budget == nullptr) {
        return;
    }
    // What share the bytes count towards depends on when they may be reclaimed.
    const std::uint64_t bytes = m_bytes;
    m_budget->setBytes(*this, 0);
    m_when = reclaim;
    m_budget->setBytes(*this, bytes);
    if (m_reclaim) {
        m_budget->m_reclaimable.insert(this);
    } else {
        m_budget->m_reclaimable.erase(this);
    }
}

bool MemoryCharge::resize(std::uint64_t bytes, MonotonicTime now)
{
    if (m_budget != nullptr) {
        return m_budget->resize(*this, bytes, now);
    }
    m_bytes = bytes;
    return true;
}

void MemoryCharge::release()
{
    if (m_budget != nullptr) {
        m_budget->setBytes(*this, 0);
    }
    m_bytes = 0;
}

void MemoryCharge::restart(MonotonicTime now)
{
    m_lastProgress = now;
    if (m_budget != nullptr) {
        m_number = ++m_budget->m_lastCharge;
    }
}

} // namespace nutmeghinge
