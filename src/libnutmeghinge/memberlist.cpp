#include "memberlist.h"

#include "cellrow.h"

#include <algorithm>

namespace nutmeghinge {

void MemberList::assign(const CellRow &row)
{
    m_members = row.members;
    m_revision = row.revision;
    m_nonVoting = {row.nonVoting.begin(), row.nonVoting.end()};
    m_formerNonVoting.reset();
    m_departing.clear();
    if (row.change) {
        m_formerNonVoting.emplace(row.change->formerNonVoting.begin(), row.change->formerNonVoting.end());
        m_departing = {row.change->departing.begin(), row.change->departing.end()};
    }
    std::erase_if(m_ended, [this](const auto &entry) { return !find(entry.first); });
}

const Member *MemberList::find(MemberSlot slot) const
{
    const auto found = std::find_if(m_members.begin(), m_members.end(), [&](const Member &member) { return member.slot == slot; });
    return found == m_members.end() ? nullptr : &*found;
}

const Member *MemberList::find(const NodeName &node, Incarnation incarnation) const
{
    const auto found =
        std::find_if(m_members.begin(), m_members.end(), [&](const Member &member) { return member.node == node && member.incarnation == incarnation; });
    return found == m_members.end() ? nullptr : &*found;
}

std::size_t MemberList::candidatePosition(MemberSlot slot) const
{
    std::size_t position = 0;
    for (const Member &member : m_members) {
        if (member.slot == slot) {
            break;
        }
        position += hasEnded(member.slot) ? 0 : 1;
    }
    return position;
}

void MemberList::recordAnnouncements(const std::vector<Member> &announced, MonotonicTime excludeAt)
{
    for (const Member &member : m_members) {
        const bool ended =
            std::any_of(announced.begin(), announced.end(), [&](const Member &row) { return row.node == member.node && row.incarnation > member.incarnation; });
        if (ended) {
            m_ended.try_emplace(member.slot, excludeAt);
        }
    }
}

bool MemberList::haveMostEnded() const
{
    const std::vector<std::vector<MemberSlot>> lists = electorates();
    return std::any_of(lists.begin(), lists.end(), [this](const std::vector<MemberSlot> &list) {
        const auto ended = std::count_if(list.begin(), list.end(), [this](MemberSlot slot) { return hasEnded(slot); });
        return 2 * static_cast<std::size_t>(ended) > list.size();
    });
}

bool MemberList::haveAllEnded() const
{
    return !m_members.empty() && m_ended.size() == m_members.size();
}

bool MemberList::isExcludedFromMajority(MemberSlot slot, MonotonicTime now) const
{
    const auto ended = m_ended.find(slot);
    return ended != m_ended.end() && now >= ended->second;
}

bool MemberList::isMajority(const Predicate &predicate, MonotonicTime now) const
{
    const std::vector<std::vector<MemberSlot>> lists = electorates();
    return std::all_of(lists.begin(), lists.end(), [&](const std::vector<MemberSlot> &list) {
        std::size_t counted = 0;
        std::size_t agreed = 0;
        for (const MemberSlot slot : list) {
            if (!isExcludedFromMajority(slot, now)) {
                ++counted;
                agreed += predicate(slot) ? 1 : 0;
            }
        }
        return agreed * 2 > counted;
    });
}

bool MemberList::isMajorityOfAll(const Predicate &predicate) const
{
    const std::vector<std::vector<MemberSlot>> lists = electorates();
    return std::all_of(lists.begin(), lists.end(), [&](const std::vector<MemberSlot> &list) {
        const auto agreed = std::count_if(list.begin(), list.end(), predicate);
        return static_cast<std::size_t>(agreed) * 2 > list.size();
    });
}

std::vector<std::vector<MemberSlot>> MemberList::electorates() const
{
    if (!m_formerNonVoting) {
        return {membersWithout(m_nonVoting)};
    }
    return {membersWithout(*m_formerNonVoting), membersWithout(m_nonVoting)};
}

std::vector<MemberSlot> MemberList::membersWithout(const std::set<MemberSlot> &excluded) const
{
    std::vector<MemberSlot> result;
    result.reserve(m_members.size());
    for (const Member &member : m_members) {
        if (!excluded.contains(member.slot)) {
            result.push_back(member.slot);
        }
    }
    return result;
}

} // namespace nutmeghinge
