#pragma once

#include "cellrow.h"
#include "ids.h"
#include "member.h"
#include "units.h"

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace nutmeghinge {

class MemberList;
struct JoinRequest;

/** Most members of one cell. */
inline constexpr std::size_t cellMembers = 64;

/**
 * Decides the next change of a cell's members, one at a time, from the nodes
 * that have announced themselves.
 */
class MemberAdmission
{
public:
    using Predicate = std::function<bool(MemberSlot)>;

    /** Rows of all nodes that announced themselves, as last read. */
    void noteAnnounced(std::vector<Member> announced) { m_announced = std::move(announced); }
    /** The node lives: it asks for a place. */
    void noteJoinRequest(const JoinRequest &request, MonotonicTime now);
    /** Remembers the members that a new row leaves out, so that their old announcements do not bring them back. */
    void noteRow(const MemberList &before, const CellRow &after);
    /** The member's node announces that it or its target ends. */
    bool announcesLeaving(MemberSlot slot, const MemberList &members) const;
    /**
     * Row with one member removed, admitted or changed; nothing where the list
     * is as it should be. mayRemove holds for members to be taken out. Only nodes
     * that have asked for a place lately are admitted.
     */
    std::optional<CellRow> nextChange(const CellRow &row, const Predicate &mayRemove, MonotonicTime now) const;

private:
    bool mayAdmit(const Member &announced, const std::vector<Member> &members, MonotonicTime now) const;
    bool updateMember(CellRow &row) const;

    std::vector<Member> m_announced;
    std::map<std::pair<NodeName, Incarnation>, MemberSlot> m_removed;
    /** When each node last asked for a place. */
    std::map<std::pair<NodeName, Incarnation>, MonotonicTime> m_asked;
};

/** The members in an order of candidates in which zones take turns. */
std::vector<Member> interleaveZones(const std::vector<Member> &members);

} // namespace nutmeghinge
