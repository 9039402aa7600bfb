#include "workclass.h"

#include "requestroute.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

using std::chrono::milliseconds;

/** Classes per objective: one for idempotent requests and one for others. */
constexpr std::uint32_t classesPerObjective = 2;
constexpr milliseconds longestObjective{1 << 24};

} // namespace

std::uint32_t workClassOf(const RequestRoute &route)
{
    const auto objective = std::min(std::chrono::duration_cast<milliseconds>(route.objective), longestObjective);
    return static_cast<std::uint32_t>(objective.count()) * classesPerObjective + (route.repeatable ? 1 : 0);
}

Duration objectiveOf(std::uint32_t workClass)
{
    return milliseconds(workClass / classesPerObjective);
}

} // namespace nutmeghinge
