#include "steadyownershipstrategy.h"

#include "document.h"
#include "shardspread.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

/** Peak over mean that is gross overload, where the document allows no more. */
constexpr double grossOverloadRatio = 1.5;
/** Part of the mean under which a member stands almost idle. */
constexpr double idleRatio = 0.5;

} // namespace

std::vector<PlannedMove> SteadyOwnershipStrategy::plan(const BalanceInput &input) const
{
    const double highest = std::max(grossOverloadRatio, input.document.targetRatio);
    const ShardSpread::Band band{std::min(idleRatio, 1 / highest), highest};
    ShardSpread spread(input);
    spread.placeUnserved();
    spread.level(band, band);
    return spread.moves();
}

} // namespace nutmeghinge
