#pragma once

#include "balancestrategy.h"

namespace nutmeghinge {

/**
 * Weighs imbalance: moves the fewest shards that bring the peak of load per slot
 * under the document's ratio to the mean, and gives a joining member its share.
 */
class EvenLoadStrategy : public BalanceStrategy
{
public:
    std::vector<PlannedMove> plan(const BalanceInput &input) const override;
};

} // namespace nutmeghinge
