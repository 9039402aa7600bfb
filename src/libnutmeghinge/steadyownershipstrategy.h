#pragma once

#include "balancestrategy.h"

namespace nutmeghinge {

/**
 * Weighs unavailable time: leaves shards where they are, but for those of nobody
 * and of leaving members, gross overload, and members that stand almost idle.
 */
class SteadyOwnershipStrategy : public BalanceStrategy
{
public:
    std::vector<PlannedMove> plan(const BalanceInput &input) const override;
};

} // namespace nutmeghinge
