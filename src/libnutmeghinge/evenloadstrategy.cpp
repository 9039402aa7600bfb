#include "evenloadstrategy.h"

#include "document.h"
#include "moveplanner.h"

namespace nutmeghinge {

std::vector<PlannedMove> EvenLoadStrategy::plan(const BalanceInput &input) const
{
    const double outer = input.document.targetRatio;
    const double inner = (1 + outer) / 2;
    MovePlanner planner(input);
    planner.placeUnserved();
    planner.balance({1 / outer, outer}, {1 / inner, inner});
    return planner.moves();
}

} // namespace nutmeghinge
