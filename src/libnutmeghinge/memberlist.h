#pragma once

#include "ids.h"
#include "member.h"
#include "units.h"

#include <cstddef>
#include <functional>
#include <map>
#include <vector>

namespace nutmeghinge {

struct CellRow;

/**
 * Members of this node's cell according to the latest cell row, and which of
 * them are known to have ended. Counts majorities.
 */
class MemberList
{
public:
    using Predicate = std::function<bool(MemberSlot)>;

    /** Replaces the members by those of the row. Members known to have ended stay marked as ended. */
    void assign(const CellRow &row);
    const std::vector<Member> &members() const { return m_members; }
    CellRevision revision() const { return m_revision; }
    /** Returns the member with the slot, or null. */
    const Member *find(MemberSlot slot) const;
    /** Returns the member that is this incarnation of the node, or null. */
    const Member *find(const NodeName &node, Incarnation incarnation) const;
    /** Returns the number of members before this one in the order of candidates, not counting ended members. */
    std::size_t candidatePosition(MemberSlot slot) const;

    /**
     * Marks members as ended whose node has announced a newer incarnation. They
     * no longer count for majorities from the given time on.
     */
    void recordAnnouncements(const std::vector<Member> &announced, MonotonicTime excludeAt);
    /** Returns whether the member is known to have ended. */
    bool hasEnded(MemberSlot slot) const { return m_ended.contains(slot); }
    /** Returns whether more than half of the members have ended. */
    bool haveMostEnded() const;
    /** Returns whether all members have ended; false for an empty list. */
    bool haveAllEnded() const;
    /** Returns whether the member has ended and no longer counts for majorities. */
    bool isExcludedFromMajority(MemberSlot slot, MonotonicTime now) const;

    /** Returns whether the predicate holds for a majority of the members that count. */
    bool isMajority(const Predicate &predicate, MonotonicTime now) const;
    /** Returns whether the predicate holds for a majority of all members, including ended members. */
    bool isMajorityOfAll(const Predicate &predicate) const;

private:
    std::vector<Member> m_members;
    CellRevision m_revision;
    /** Ended members, with the time from which they no longer count for majorities. */
    std::map<MemberSlot, MonotonicTime> m_ended;
};

} // namespace nutmeghinge
