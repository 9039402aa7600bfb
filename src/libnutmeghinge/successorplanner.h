#pragma once

#include "balancestrategy.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

namespace nutmeghinge {

/**
 * Chooses the successors of every shard. The shards of one owner get successors
 * in even numbers, so that its loss burdens the others evenly. Depends on
 * owners and members alone, not on load, so that successors stay.
 */
class SuccessorPlanner
{
public:
    /** The input must outlive the planner. */
    explicit SuccessorPlanner(const BalanceInput &input);

    /** One list a shard, best successor first. */
    std::vector<std::vector<MemberSlot>> plan();

private:
    struct Rank;

    std::vector<MemberSlot> successorsOf(const ShardOwnership &ownership);
    const BalanceMember *best(const ShardOwnership &ownership, const std::vector<MemberSlot> &taken) const;
    Rank rank(const BalanceMember &member, const ShardOwnership &ownership, const std::vector<MemberSlot> &taken) const;
    const BalanceMember *memberAt(MemberSlot slot) const;

    const BalanceInput &m_input;
    /** A member as successor of one owner's shards at one place of their lists. */
    struct Place {
        MemberSlot owner;
        MemberSlot successor;
        std::size_t position = 0;

        bool operator<(const Place &other) const { return std::tie(owner, successor, position) < std::tie(other.owner, other.successor, other.position); }
    };
    std::map<Place, std::uint32_t> m_chosenForOwner;
    std::map<MemberSlot, std::uint32_t> m_chosen;
};

} // namespace nutmeghinge
