#pragma once

#include "balancestrategy.h"

namespace nutmeghinge {

/** Baseline for comparison: assigns shards by shard index modulo the number of eligible members and ignores load. */
class StaticHashingStrategy : public BalanceStrategy
{
public:
    std::vector<PlannedMove> plan(const BalanceInput &input) const override
    {
        std::vector<MemberSlot> eligible;
        for (const BalanceMember &member : input.members) {
            if (member.eligible) {
                eligible.push_back(member.slot);
            }
        }
        std::vector<PlannedMove> moves;
        for (std::uint32_t shard = 0; !eligible.empty() && shard < input.map.shards.size(); ++shard) {
            const MemberSlot owner = eligible[shard % eligible.size()];
            if (input.map.shards[shard].owner != owner) {
                moves.push_back({ShardIndex(shard), owner});
            }
        }
        return moves;
    }
};

} // namespace nutmeghinge
