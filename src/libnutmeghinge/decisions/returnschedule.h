#pragma once

#include "units.h"

namespace nutmeghinge {

/**
 * Gives each refused caller a time of its own to come back, in the order of the
 * refusals and at the pace at which room arises. Answers overload: callers that
 * were refused together and told the same time would come back together, and
 * most of them would be refused again. Owned by the TargetAdmission.
 */
class ReturnSchedule
{
public:
    /**
     * Returns the delay after which a caller that is refused now should come back.
     * @param earliest time until there is room for a further request
     * @param interval time in which room for one request arises
     * @param longest longest delay after which the caller can still be served; later times are cut to it, unless there is no room by then:
     *        then the caller is told the earliest time
     */
    Duration next(MonotonicTime now, Duration earliest, Duration interval, Duration longest);

private:
    /** Time of the first room that no caller was told of. */
    MonotonicTime m_nextRoom;
};

} // namespace nutmeghinge
