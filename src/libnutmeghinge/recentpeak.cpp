#include "recentpeak.h"

#include <algorithm>
#include <utility>

namespace nutmeghinge {

void RecentPeak::record(Duration value, MonotonicTime now)
{
    if (now >= m_windowBegan + m_window) {
        m_previous = now < m_windowBegan + 2 * m_window ? m_current : Duration(0);
        m_current = Duration(0);
        m_windowBegan = now;
    }
    m_current = std::max(m_current, value);
}

Duration RecentPeak::value(MonotonicTime now) const
{
    if (now >= m_windowBegan + 2 * m_window) {
        return Duration(0);
    }
    return now < m_windowBegan + m_window ? std::max(m_current, m_previous) : m_current;
}

} // namespace nutmeghinge
