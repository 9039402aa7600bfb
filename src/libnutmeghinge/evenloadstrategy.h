#pragma once

#include "balancestrategy.h"

namespace nutmeghinge {

/**
 * Minimizes load imbalance: moves as few shards as needed to bring the highest
 * load per slot within the document's target ratio to the mean, and to give a
 * joining member its share.
 */
class EvenLoadStrategy : public BalanceStrategy
{
public:
    std::vector<PlannedMove> plan(const BalanceInput &input) const override;
};

} // namespace nutmeghinge
