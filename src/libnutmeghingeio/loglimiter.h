#pragma once

#include "units.h"

#include <cstdint>

namespace nutmeghinge {

/** Limits the rate of log lines of one kind and counts the suppressed ones. */
class LogLimiter
{
public:
    explicit LogLimiter(std::uint32_t linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
    {
    }

    /** Returns whether a line may be written now; otherwise counts it as suppressed. */
    bool admit(MonotonicTime now);
    /** Returns the number of lines suppressed in past seconds and resets it. */
    std::uint64_t takeSuppressed(MonotonicTime now);

private:
    void startSecond(MonotonicTime now);

    std::uint32_t m_linesPerSecond;
    MonotonicTime m_secondEnd;
    std::uint32_t m_lines = 0;
    /** Lines suppressed in the current second. */
    std::uint64_t m_suppressed = 0;
    /** Lines suppressed in past seconds that takeSuppressed() has not returned yet. */
    std::uint64_t m_suppressedBefore = 0;
};

} // namespace nutmeghinge
