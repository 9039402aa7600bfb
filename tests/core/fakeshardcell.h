#pragma once

#include "balancestrategy.h"
#include "document.h"

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <vector>

namespace nutmeghinge {

/** A cell in which planned moves take effect immediately. Counts the moves of each shard. */
class FakeShardCell
{
public:
    explicit FakeShardCell(std::uint32_t shards)
        : movesOfShard(shards)
        , cooling(shards)
        , loads(shards)
    {
        document.shards = shards;
        map.shards.resize(shards);
    }

    BalanceMember &addMember(std::uint32_t slots = 20)
    {
        BalanceMember member;
        member.slot = MemberSlot(static_cast<std::uint32_t>(members.size() + 1));
        member.zone = ZoneName("zone-" + std::to_string(members.size() % 3));
        member.slots = slots;
        member.eligible = true;
        member.eligibleFor = std::chrono::hours(1);
        members.push_back(member);
        return members.back();
    }

    BalanceInput input(std::uint32_t budget = 1000000) const { return {document, members, map, loads, cooling, budget, now}; }

    void apply(const std::vector<PlannedMove> &moves)
    {
        for (const PlannedMove &move : moves) {
            ShardOwnership &ownership = map.shards.at(move.shard.value());
            movesOfShard[move.shard.value()] += ownership.state == ShardOwnership::State::Owned ? 1 : 0;
            ownership.state = ShardOwnership::State::Owned;
            ownership.owner = move.to;
        }
    }

    /** Plans and applies moves until none is planned. Returns the number of moves, or nothing if moves are still planned after all rounds. */
    std::optional<std::size_t> settle(const BalanceStrategy &strategy, std::uint32_t budget = 1000000, int rounds = 5000)
    {
        std::size_t total = 0;
        for (int round = 0; round < rounds; ++round) {
            const std::vector<PlannedMove> moves = strategy.plan(input(budget));
            if (moves.empty()) {
                return total;
            }
            total += moves.size();
            apply(moves);
        }
        return std::nullopt;
    }

    std::vector<double> loadsPerSlot() const
    {
        std::vector<double> result;
        for (const BalanceMember &member : members) {
            if (member.eligible) {
                result.push_back(static_cast<double>(loadOf(member.slot)) / member.slots);
            }
        }
        return result;
    }

    /** Returns the ratio of peak to mean load per slot of the eligible members. */
    double peakRatio() const
    {
        std::uint64_t slots = 0;
        for (const BalanceMember &member : members) {
            slots += member.eligible ? member.slots : 0;
        }
        const std::vector<double> each = loadsPerSlot();
        const double total = static_cast<double>(std::accumulate(loads.begin(), loads.end(), std::uint64_t{0}));
        return *std::max_element(each.begin(), each.end()) * static_cast<double>(slots) / total;
    }

    std::size_t shardsOf(MemberSlot slot) const
    {
        return static_cast<std::size_t>(
            std::count_if(map.shards.begin(), map.shards.end(), [&](const ShardOwnership &ownership) { return ownership.owner == slot; }));
    }

    std::uint64_t loadOf(MemberSlot slot) const
    {
        std::uint64_t load = 0;
        for (std::size_t shard = 0; shard < map.shards.size(); ++shard) {
            load += map.shards[shard].owner == slot ? loads[shard] : 0;
        }
        return load;
    }

    Document document;
    std::vector<BalanceMember> members;
    OwnershipMap map;
    /** Number of moves between owners by shard. */
    std::vector<std::uint32_t> movesOfShard;
    std::vector<bool> cooling;
    std::vector<std::uint64_t> loads;
    std::optional<WallTime> now;
};

} // namespace nutmeghinge
