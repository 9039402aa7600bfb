#include "successorplanner.h"

#include <algorithm>
#include <tuple>

namespace nutmeghinge {

namespace {

constexpr std::size_t successorsPerShard = 2;

} // namespace

/** How well a member suits as a successor; the lower the better. */
struct SuccessorPlanner::Rank {
    bool inOwnersZone = false;
    /** Ticks from the latest time to the time of leaving. */
    WallTime::duration leavesEarlier{0};
    bool inTakenZone = false;
    double chosenForOwnerPerSlot = 0;
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
