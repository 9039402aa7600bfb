#pragma once

#include "units.h"

#include <cstdint>

namespace nutmeghinge {

/** Bounds the lines of one kind that a log gets in a second, and counts those that are left out. */
class LogLimiter
{
public:
    explicit LogLimiter(std::uint32_t linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
    {
    }

    /** Whether a line may be written now. */
    bool admit(MonotonicTime now);
    /** Lines left out in the seconds that have ended; each is told once. */
    std::uint64_t takeLeftOut(MonotonicTime now);

private:
    void startSecond(MonotonicTime now);

    std::uint32_t m_linesPerSecond;
    MonotonicTime m_secondEnd;
    std::uint32_t m_lines = 0;
    std::uint64_t m_leftOut = 0;
    std::uint64_t m_leftOutBefore = 0;
};

} // namespace nutmeghinge
