#include "loglimiter.h"

#include <utility>

namespace nutmeghinge {

void LogLimiter::startSecond(MonotonicTime now)
{
    if (now < m_secondEnd) {
        return;
    }
    m_secondEnd = now + std::chrono::seconds(1);
    m_lines = 0;
    m_suppressedBefore += std::exchange(m_suppressed, 0);
}

bool LogLimiter::admit(MonotonicTime now)
{
    startSecond(now);
    if (m_lines < m_linesPerSecond) {
        ++m_lines;
        return true;
    }
    ++m_suppressed;
    return false;
}

std::uint64_t LogLimiter::takeSuppressed(MonotonicTime now)
{
    startSecond(now);
    return std::exchange(m_suppressedBefore, 0);
}

} // namespace nutmeghinge
