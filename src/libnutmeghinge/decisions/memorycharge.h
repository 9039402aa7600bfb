#pragma once

#include "units.h"

#include <cstdint>
#include <functional>

namespace nutmeghinge {

class MemoryBudget;

/**
 * Bytes that one holder has charged to a MemoryBudget, which must outlive it. The
 * destructor returns them. Without a budget every size fits.
 */
class MemoryCharge
{
public:
    /** Frees the memory that the charge stands for, and releases the charge; does neither if the memory is in use. */
    using ReclaimFunction = std::function<void()>;

    /** budget: null for no limit. */
    explicit MemoryCharge(MemoryBudget *budget, MonotonicTime now);
    ~MemoryCharge();
    MemoryCharge(const MemoryCharge &) = delete;
    MemoryCharge &operator=(const MemoryCharge &) = delete;

    /** When the budget may reclaim the memory. */
    enum class Reclaim : std::uint8_t {
        Always,
        /** Only while the client makes no progress. */
        IfStalled,
    };

    /** Lets the budget reclaim the memory; null to protect it. */
    void setReclaimFunction(ReclaimFunction function, Reclaim reclaim = Reclaim::Always);
    /** Sets the number of bytes held. Returns false, and keeps the earlier number, if they do not fit. */
    bool resize(std::uint64_t bytes, MonotonicTime now);
    /** Sets the number of bytes to zero. */
    void release();
    /** Records that the client has sent or read what counts as progress. */
    void recordProgress(MonotonicTime now) { m_lastProgress = now; }
    /** Begins the life of the charge again, because its holder begins to serve something else. */
    void restart(MonotonicTime now);

    std::uint64_t bytes() const { return m_bytes; }

private:
    friend class MemoryBudget;

    MemoryBudget *m_budget;
    std::uint64_t m_bytes = 0;
    /** Order in which charges began; later ones have higher numbers. */
    std::uint64_t m_number = 0;
    MonotonicTime m_lastProgress;
    /** The memory could not be reclaimed when that was last tried. */
    bool m_inUse = false;
    ReclaimFunction m_reclaim;
    Reclaim m_when = Reclaim::Always;
};

} // namespace nutmeghinge
