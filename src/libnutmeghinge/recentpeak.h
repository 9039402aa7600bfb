#pragma once

#include "units.h"

namespace nutmeghinge {

/** Highest of the durations that were recorded in the last seconds: over the window, and at most over twice of it. */
class RecentPeak
{
public:
    explicit RecentPeak(Duration window)
        : m_window(window)
    {
    }

    void record(Duration value, MonotonicTime now);
    Duration value(MonotonicTime now) const;

private:
    Duration m_window;
    MonotonicTime m_windowBegan;
    Duration m_current{0};
    Duration m_previous{0};
};

} // namespace nutmeghinge
