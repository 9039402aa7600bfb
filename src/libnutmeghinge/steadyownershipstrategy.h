#pragma once

#include "balancestrategy.h"

namespace nutmeghinge {

/**
 * Minimizes unavailable time: moves a shard only if it has no eligible owner, if its
 * owner is grossly overloaded, or if another member is almost idle.
 */
class SteadyOwnershipStrategy : public BalanceStrategy
{
public:
    std::vector<PlannedMove> plan(const BalanceInput &input) const override;
};

} // namespace nutmeghinge
