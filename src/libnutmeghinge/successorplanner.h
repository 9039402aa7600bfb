#pragma once

#include "balancestrategy.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

namespace nutmeghinge {

/**
 * Chooses the successors of every shard. The successors of one owner's shards are
 * evenly distributed, so that the loss of the owner loads the other members
 * evenly. Ignores load, so that successors only change with owners and members.
 */
class SuccessorPlanner
{
public:
    /** The input must outlive the planner. */
    explicit SuccessorPlanner(const BalanceInput &input);

    /** Returns one list of successors per shard, best first. */
    std::vector<std::vector<MemberSlot>> plan();

private:
    struct Rank;

    std::vector<MemberSlot> successorsOf(const ShardOwnership &ownership);
    const BalanceMember *best(const ShardOwnership &ownership, const std::vector<MemberSlot> &taken) const;
    Rank rank(const BalanceMember &member, const ShardOwnership &ownership, const std::vector<MemberSlot> &taken) const;
    const BalanceMember *memberAt(MemberSlot slot) const;

    const BalanceInput &m_input;
    /** A member as successor of one owner's shards at one position of their lists. */
    struct Place {
        MemberSlot owner;
        MemberSlot successor;
        std::size_t position = 0;

        bool operator<(const Place &other) const { return std::tie(owner, successor, position) < std::tie(other.owner, other.successor, other.position); }
    };
    /** How often each member was chosen for an owner and a position. */
    std::map<Place, std::uint32_t> m_chosenForOwner;
    /** How often each member was chosen in total. */
    std::map<MemberSlot, std::uint32_t> m_chosen;
};

} // namespace nutmeghinge
