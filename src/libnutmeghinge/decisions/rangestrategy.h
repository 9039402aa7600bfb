#pragma once

#include "balancestrategy.h"

namespace nutmeghinge {

/**
 * Strategy for services whose shards are adjacent ranges of a numeric key space.
 * Gives every member few, long runs of shards in proportion to its slots, and
 * moves the shortest slice that relieves a member whose load is above the
 * document's target ratio. Busy keys are often close to each other, so a short
 * slice splits them.
 */
class RangeStrategy : public BalanceStrategy
{
public:
    std::vector<PlannedMove> plan(const BalanceInput &input) const override;
};

} // namespace nutmeghinge
