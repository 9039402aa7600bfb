#include "memberadmission.h"

#include "memberlist.h"
#include "peermessages.h"

#include <algorithm>
#include <tuple>

namespace nutmeghinge {

namespace {

/** Longer than the interval at which a node repeats its join request. */
constexpr Duration joinRequestLifetime = std::chrono::seconds(3);

/** Members that leave keep their votes unless so many others vote. */
constexpr std::size_t leastVoters = 3;

Member withSlot(Member announced, MemberSlot slot)
{
    announced.slot = slot;
    return announced;
}

} // namespace

void MemberAdmission::recordJoinRequest(const JoinRequest &request, MonotonicTime now)
{
    std::erase_if(m_joinRequests, [&](const auto &entry) { return now >= entry.second.latest + joinRequestLifetime; });
    const auto [entry, isNew] = m_joinRequests.try_emplace({request.node, request.incarnation}, JoinRequests{now, now});
    entry->second.latest = now;
}

void MemberAdmission::recordRemovedMembers(const MemberList &before, const CellRow &after)
{
    for (const Member &member : before.members()) {
        const bool kept = std::any_of(after.members.begin(), after.members.end(), [&](const Member &other) { return other.slot == member.slot; });
        if (!kept) {
            m_removed[{member.node, member.incarnation}] = member.slot;
        }
    }
}

bool MemberAdmission::announcesLeaving(MemberSlot slot, const MemberList &members) const
{
    const Member *member = members.find(slot);
    return member && std::any_of(m_announced.begin(), m_announced.end(), [&](const Member &announced) {
               return announced.node == member->node && announced.incarnation == member->incarnation && announced.leaving;
           });
}

std::optional<CellRow> MemberAdmission::nextChange(const CellRow &row, const Predicate &mayRemove, const Predicate &votes, MonotonicTime now) const
{
    CellRow next = row;
    next.revision = CellRevision(row.revision.value() + 1);
    const bool updated = updateMembers(next);
    if (row.change) {
        return withChangeEnded(std::move(next));
    }
    std::set<MemberSlot> departing;
    for (const Member &member : next.members) {
        if (mayRemove(member.slot)) {
            departing.insert(member.slot);
        }
    }
    const std::set<MemberSlot> former(row.nonVoting.begin(), row.nonVoting.end());
    const std::set<MemberSlot> later = nonVoters(next, departing, votes);
    const auto changesVote = [&](const Member &member) { return former.contains(member.slot) != later.contains(member.slot); };
    const auto changedVotes = static_cast<std::size_t>(std::count_if(next.members.begin(), next.members.end(), changesVote));
    const auto isVoter = [&](const Member &member) { return !later.contains(member.slot); };
    const auto isActiveVoter = [&](const Member &member) { return isVoter(member) && votes(member.slot); };
    const auto voters = static_cast<std::size_t>(std::count_if(next.members.begin(), next.members.end(), isVoter));
    const auto active = static_cast<std::size_t>(std::count_if(next.members.begin(), next.members.end(), isActiveVoter));
    // One is always admitted: a change of one voter needs no second row.
    const std::vector<MemberSlot> joining = admit(next, 2 * active > voters + 2 ? 2 * active - 1 - voters : 1, now);
    if (joining.empty() && departing.empty() && changedVotes == 0) {
        next.members = orderCandidates(next.members);
        return updated ? std::optional<CellRow>(next) : std::nullopt;
    }
    next.nonVoting.assign(later.begin(), later.end());
    MemberChange change;
    change.formerNonVoting = row.nonVoting;
    change.formerNonVoting.insert(change.formerNonVoting.end(), joining.begin(), joining.end());
    change.departing.assign(departing.begin(), departing.end());
    next.change = std::move(change);
    if (changedVotes + joining.size() <= 1) {
        // Majorities of two sets that differ in one voter overlap.
        return withChangeEnded(std::move(next));
    }
    next.members = orderCandidates(next.members);
    return next;
}

std::set<MemberSlot> MemberAdmission::nonVoters(const CellRow &row, const std::set<MemberSlot> &departing, const Predicate &votes)
{
    std::set<MemberSlot> withLeaving = departing;
    std::size_t staying = 0;
    std::size_t active = 0;
    for (const Member &member : row.members) {
        if (member.leaving) {
            withLeaving.insert(member.slot);
        }
        const bool stays = !withLeaving.contains(member.slot);
        staying += stays ? 1 : 0;
        active += stays && votes(member.slot) ? 1 : 0;
    }
    // Members that have just joined do not vote yet.
    if (active >= leastVoters && 2 * active > staying) {
        return withLeaving;
    }
    std::set<MemberSlot> result = departing;
    result.insert(row.nonVoting.begin(), row.nonVoting.end());
    return result;
}

CellRow MemberAdmission::withChangeEnded(CellRow row)
{
    const std::set<MemberSlot> departing(row.change->departing.begin(), row.change->departing.end());
    std::erase_if(row.members, [&](const Member &member) { return departing.contains(member.slot); });
    std::erase_if(row.nonVoting, [&](MemberSlot slot) { return departing.contains(slot); });
    row.members = orderCandidates(row.members);
    row.change.reset();
    return row;
}

std::vector<MemberSlot> MemberAdmission::admit(CellRow &row, std::size_t most, MonotonicTime now) const
{
    std::vector<MemberSlot> admitted;
    for (const Member &announced : m_announced) {
        if (admitted.size() >= most || row.members.size() >= maxCellMembers) {
            break;
        }
        if (mayAdmit(announced, row.members, now)) {
            row.members.push_back(withSlot(announced, row.nextSlot));
            admitted.push_back(row.nextSlot);
            row.nextSlot = MemberSlot(row.nextSlot.value() + 1);
        }
    }
    return admitted;
}

std::size_t MemberAdmission::nodesWithoutRoom(const CellRow &row, MonotonicTime now) const
{
    if (row.members.size() < maxCellMembers) {
        return 0;
    }
    const auto waits = [&](const Member &announced) { return mayAdmit(announced, row.members, now); };
    return static_cast<std::size_t>(std::count_if(m_announced.begin(), m_announced.end(), waits));
}

std::pair<std::size_t, Duration> MemberAdmission::waitingNodes(const MemberList &members, MonotonicTime now) const
{
    std::size_t waiting = 0;
    Duration longest{0};
    for (const auto &[node, requests] : m_joinRequests) {
        if (now < requests.latest + joinRequestLifetime && !members.find(node.first, node.second)) {
            ++waiting;
            longest = std::max(longest, now - requests.first);
        }
    }
    return {waiting, longest};
}

bool MemberAdmission::mayAdmit(const Member &announced, const std::vector<Member> &members, MonotonicTime now) const
{
    const auto request = m_joinRequests.find({announced.node, announced.incarnation});
    if (request == m_joinRequests.end() || now >= request->second.latest + joinRequestLifetime) {
        return false;
    }
    const bool known = std::any_of(
        members.begin(), members.end(), [&](const Member &member) { return member.node == announced.node && member.incarnation >= announced.incarnation; });
    if (known || announced.leaving) {
        return false;
    }
    // A removed node that is still running announces the slot it had.
    const auto removed = m_removed.find({announced.node, announced.incarnation});
    return removed == m_removed.end() || removed->second == announced.slot;
}

bool MemberAdmission::updateMembers(CellRow &row) const
{
    bool updated = false;
    for (Member &member : row.members) {
        for (const Member &announced : m_announced) {
            const bool same = announced.node == member.node && announced.incarnation == member.incarnation;
            if (same && withSlot(announced, member.slot) != member) {
                member = withSlot(announced, member.slot);
                updated = true;
            }
        }
    }
    return updated;
}

namespace {

/** A link with less than the largest one's bandwidth divided by this is small. */
constexpr std::uint64_t smallLinkDivisor = 4;

/** Groups of candidates, the first ones first. */
enum class CandidateGroup : std::uint8_t {
    LargeLink,
    SmallLink,
    Leaving,
};

} // namespace

std::vector<Member> orderCandidates(const std::vector<Member> &members)
{
    std::uint64_t largestLink = 0;
    for (const Member &member : members) {
        largestLink = std::max<std::uint64_t>(largestLink, member.linkMegabits);
    }
    const auto groupOf = [&](const Member &member) {
        const bool isSmall = member.linkMegabits * smallLinkDivisor < largestLink;
        return member.leaving ? CandidateGroup::Leaving : isSmall ? CandidateGroup::SmallLink : CandidateGroup::LargeLink;
    };
    // Number of earlier members of the zone in the same group.
    std::map<std::pair<CandidateGroup, ZoneName>, std::uint32_t> seen;
    std::vector<std::tuple<CandidateGroup, std::uint32_t, Member>> ranked;
    ranked.reserve(members.size());
    for (const Member &member : members) {
        const CandidateGroup group = groupOf(member);
        ranked.emplace_back(group, seen[{group, member.zone}]++, member);
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto &left, const auto &right) {
        return std::tie(std::get<0>(left), std::get<1>(left)) < std::tie(std::get<0>(right), std::get<1>(right));
    });
    std::vector<Member> result;
    result.reserve(ranked.size());
    for (auto &[group, rank, member] : ranked) {
        result.push_back(std::move(member));
    }
    return result;
}

} // namespace nutmeghinge
