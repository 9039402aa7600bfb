#pragma once

#include "balancestrategy.h"

namespace nutmeghinge {

/**
 * Minimizes unavailable time: only moves shards that are unowned or owned by
 * leaving members, and shards from grossly overloaded members or to almost idle
 * ones.
 */
class SteadyOwnershipStrategy : public BalanceStrategy
{
public:
    std::vector<PlannedMove> plan(const BalanceInput &input) const override;
};

} // namespace nutmeghinge
