#include "timelineentry.h"

#include <tuple>

namespace nutmeghinge {

bool isEarlier(const TimelineEntry &left, const TimelineEntry &right)
{
    return std::tie(left.wall, left.counter, left.node) < std::tie(right.wall, right.counter, right.node);
}

} // namespace nutmeghinge
