#include "memberlist.h"

#include "cellrow.h"

#include <algorithm>

namespace nutmeghinge {

void MemberList::assign(const CellRow &row)
{
    m_members = row.members;
    m_revision = row.revision;
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
    return 2 * m_ended.size() > m_members.size();
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
    std::size_t counted = 0;
    std::size_t agreed = 0;
    for (const Member &member : m_members) {
        if (isExcludedFromMajority(member.slot, now)) {
            continue;
        }
        ++counted;
        agreed += predicate(member.slot) ? 1 : 0;
    }
    return agreed * 2 > counted;
}

bool MemberList::isMajorityOfAll(const Predicate &predicate) const
{
    const auto agreed = std::count_if(m_members.begin(), m_members.end(), [&](const Member &member) { return predicate(member.slot); });
    return static_cast<std::size_t>(agreed) * 2 > m_members.size();
}

} // namespace nutmeghinge
