#include "returnschedule.h"

#include <algorithm>

namespace nutmeghinge {

Duration ReturnSchedule::next(MonotonicTime now, Duration earliest, Duration interval, Duration longest)
{
    if (earliest > longest) {
        return earliest;
    }
    const MonotonicTime at = std::min(std::max(now + earliest, m_nextRoom), now + longest);
    m_nextRoom = at + interval;
    return std::chrono::duration_cast<Duration>(at - now);
}

} // namespace nutmeghinge
