#pragma once

#include "balancestrategy.h"

namespace nutmeghinge {

/**
 * For services whose shards are neighbouring ranges of a numeric key space:
 * gives every member few, long runs of shards, in proportion to its slots, and
 * moves the shortest slice that takes load off a member above the document's
 * target ratio. Busy keys lie close to one another, so that a slice parts them.
 */
class RangeStrategy : public BalanceStrategy
{
public:
    std::vector<PlannedMove> plan(const BalanceInput &input) const override;
};

} // namespace nutmeghinge
