#include "evenloadstrategy.h"

#include "document.h"
#include "shardspread.h"

namespace nutmeghinge {

std::vector<PlannedMove> EvenLoadStrategy::plan(const BalanceInput &input) const
{
    const double outer = input.document.targetRatio;
    const double inner = (1 + outer) / 2;
    ShardSpread spread(input);
    spread.placeUnserved();
    spread.level({1 / outer, outer}, {1 / inner, inner});
    return spread.moves();
}

} // namespace nutmeghinge
