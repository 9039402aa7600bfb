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
 * Members of this node's cell as the latest row names them, and which of them
 * are proved ended. Counts majorities.
 */
class MemberList
{
public:
    using Predicate = std::function<bool(MemberSlot)>;

    /** Takes the members of a row; knowledge of ended members stays. */
    void assign(const CellRow &row);
    const std::vector<Member> &members() const { return m_members; }
    CellRevision revision() const { return m_revision; }
    /** Null if no member has the slot. */
    const Member *find(MemberSlot slot) const;
    /** Null if the incarnation of the node is no member. */
    const Member *find(const NodeName &node, Incarnation incarnation) const;
    /** Number of members before this one in the order of candidates, without those proved ended. */
    std::size_t candidatePosition(MemberSlot slot) const;

    /**
     * Learns from the announced nodes which members have ended: those whose
     * node announces a newer incarnation. They leave the count at the given time.
     */
    void noteAnnounced(const std::vector<Member> &announced, MonotonicTime leaveCountAt);
    bool isProvedEnded(MemberSlot slot) const { return m_ended.contains(slot); }
    /** More than half of the members are proved ended. */
    bool areMostProvedEnded() const;
    /** Every member is proved ended; false for an empty list. */
    bool areAllProvedEnded() const;
    /** The member is proved ended and no longer counts for majorities. */
    bool isOutOfCount(MemberSlot slot, MonotonicTime now) const;

    /** The predicate holds for a majority of the members that count. */
    bool isMajority(const Predicate &predicate, MonotonicTime now) const;
    /** The predicate holds for a majority of all members, the ended ones counted. */
    bool isMajorityOfAll(const Predicate &predicate) const;

private:
    std::vector<Member> m_members;
    CellRevision m_revision;
    std::map<MemberSlot, MonotonicTime> m_ended;
};

} // namespace nutmeghinge
