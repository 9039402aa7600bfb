#include "successorplanner.h"

#include <algorithm>
#include <tuple>

namespace nutmeghinge {

namespace {

constexpr std::size_t successorsPerShard = 2;

} // namespace

/** Suitability of a member as a successor; a lower rank is better. */
struct SuccessorPlanner::Rank {
    bool inOwnersZone = false;
    /** Time from the member's leaving to WallTime::max(); 0 if it stays. */
    WallTime::duration leavesEarlier{0};
    /** True if a successor already chosen for the shard is in the same zone. */
    bool inTakenZone = false;
    /** Number of times chosen for the owner at this position, per slot of the member. */
    double chosenForOwnerPerSlot = 0;
    /** Number of times chosen in total, per slot of the member. */
    double chosenPerSlot = 0;

    bool operator<(const Rank &other) const { return tied() < other.tied(); }
    std::tuple<bool, WallTime::duration, bool, double, double> tied() const
    {
        return {inOwnersZone, leavesEarlier, inTakenZone, chosenForOwnerPerSlot, chosenPerSlot};
    }
};

SuccessorPlanner::SuccessorPlanner(const BalanceInput &input)
    : m_input(input)
{
}

std::vector<std::vector<MemberSlot>> SuccessorPlanner::plan()
{
    std::vector<std::vector<MemberSlot>> successors;
    successors.reserve(m_input.map.shards.size());
    for (const ShardOwnership &ownership : m_input.map.shards) {
        successors.push_back(successorsOf(ownership));
    }
    return successors;
}

std::vector<MemberSlot> SuccessorPlanner::successorsOf(const ShardOwnership &ownership)
{
    std::vector<MemberSlot> successors;
    const BalanceMember *next = memberAt(ownership.next);
    if (ownership.state == ShardOwnership::State::Releasing && next && next->eligible) {
        successors.push_back(next->slot);
    }
    while (successors.size() < successorsPerShard) {
        const BalanceMember *member = best(ownership, successors);
        if (!member) {
            break;
        }
        ++m_chosenForOwner[{ownership.owner, member->slot, successors.size()}];
        ++m_chosen[member->slot];
        successors.push_back(member->slot);
    }
    return successors;
}

const BalanceMember *SuccessorPlanner::best(const ShardOwnership &ownership, const std::vector<MemberSlot> &taken) const
{
    const BalanceMember *best = nullptr;
    Rank bestRank;
    for (const BalanceMember &member : m_input.members) {
        if (!member.eligible || member.slot == ownership.owner || std::find(taken.begin(), taken.end(), member.slot) != taken.end()) {
            continue;
        }
        const Rank memberRank = rank(member, ownership, taken);
        if (!best || memberRank < bestRank) {
            best = &member;
            bestRank = memberRank;
        }
    }
    return best;
}

SuccessorPlanner::Rank SuccessorPlanner::rank(const BalanceMember &member, const ShardOwnership &ownership, const std::vector<MemberSlot> &taken) const
{
    const auto sharesZone = [&](MemberSlot slot) {
        const BalanceMember *other = memberAt(slot);
        return other && other->zone == member.zone;
    };
    const double slots = std::max(member.slots, 1U);
    const auto forOwner = m_chosenForOwner.find({ownership.owner, member.slot, taken.size()});
    const auto total = m_chosen.find(member.slot);
    Rank rank;
    rank.inOwnersZone = sharesZone(ownership.owner);
    rank.leavesEarlier = WallTime::max() - member.leavesAt.value_or(WallTime::max());
    rank.inTakenZone = std::any_of(taken.begin(), taken.end(), sharesZone);
    rank.chosenForOwnerPerSlot = forOwner == m_chosenForOwner.end() ? 0 : forOwner->second / slots;
    rank.chosenPerSlot = total == m_chosen.end() ? 0 : total->second / slots;
    return rank;
}

const BalanceMember *SuccessorPlanner::memberAt(MemberSlot slot) const
{
    const auto found = std::find_if(m_input.members.begin(), m_input.members.end(), [&](const BalanceMember &member) { return member.slot == slot; });
    return found == m_input.members.end() ? nullptr : &*found;
}

} // namespace nutmeghinge
