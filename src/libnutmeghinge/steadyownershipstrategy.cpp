#include "steadyownershipstrategy.h"

#include "document.h"
#include "moveplanner.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

/** Ratio to the mean load above which a member is grossly overloaded, unless the document's target ratio is higher. */
constexpr double grossOverloadRatio = 1.5;
/** Ratio to the mean load below which a member is almost idle. */
constexpr double idleRatio = 0.5;

} // namespace

std::vector<PlannedMove> SteadyOwnershipStrategy::plan(const BalanceInput &input) const
{
    const double highest = std::max(grossOverloadRatio, input.document.targetRatio);
    const MovePlanner::Band band{std::min(idleRatio, 1 / highest), highest};
    MovePlanner planner(input);
    planner.placeUnserved();
    planner.balance(band, band);
    return planner.moves();
}

} // namespace nutmeghinge
