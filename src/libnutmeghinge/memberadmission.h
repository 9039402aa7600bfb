#pragma once

#include "cellrow.h"
#include "ids.h"
#include "member.h"
#include "units.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace nutmeghinge {

class MemberList;
struct JoinRequest;

/** Maximum number of members of a cell. */
inline constexpr std::size_t maxCellMembers = 512;

/**
 * Determines the next change of a cell's members from the announced nodes. A
 * member that announces that it leaves has no vote any more, long before it is removed,
 * so that the rest keeps a majority when many leave. Changes of at most one voter take one
 * row. Those of several take two: the first has the voters before and after the change
 * and needs majorities of both (joint consensus, Ongaro and Ousterhout, "In Search of an
 * Understandable Consensus Algorithm", section 6), the second ends the change.
 */
class MemberAdmission
{
public:
    using Predicate = std::function<bool(MemberSlot)>;

    /** Sets the member rows of all announced nodes, as last read from the table. */
    void setAnnounced(std::vector<Member> announced) { m_announced = std::move(announced); }
    /** Records that the node is running and requested to join. */
    void recordJoinRequest(const JoinRequest &request, MonotonicTime now);
    /** Records the members that the new row no longer contains, so that their old announcements do not bring them back. */
    void recordRemovedMembers(const MemberList &before, const CellRow &after);
    /** Returns whether the member's node has announced that it or its target is about to stop. */
    bool announcesLeaving(MemberSlot slot, const MemberList &members) const;
    /**
     * Returns the row with all members removed, admitted and updated that are due, or with the change in progress ended; empty if no
     * change is needed. May be called only once a majority of the members knows the given row. Members for which mayRemove returns true are
     * removed. Nodes that have requested to join recently are admitted, as many as leave the voters that vote now a majority.
     */
    std::optional<CellRow> nextChange(const CellRow &row, const Predicate &mayRemove, const Predicate &votes, MonotonicTime now) const;
    /** Returns the number of nodes that request to join and are not admitted because the cell has its largest number of members. */
    std::size_t nodesWithoutRoom(const CellRow &row, MonotonicTime now) const;
    /** Returns the number of nodes that request to join and are not members, and the longest time for which one of them has done so. */
    std::pair<std::size_t, Duration> waitingNodes(const MemberList &members, MonotonicTime now) const;

private:
    /** Returns the row in which the change of members in progress has ended. */
    static CellRow withChangeEnded(CellRow row);
    /** Returns the members whose votes are not to count: those given, and those that leave unless too few others are left. */
    static std::set<MemberSlot> nonVoters(const CellRow &row, const std::set<MemberSlot> &departing, const Predicate &votes);
    /** Adds the nodes that may join to the members, at most as many as given, and returns their slots. */
    std::vector<MemberSlot> admit(CellRow &row, std::size_t most, MonotonicTime now) const;
    bool mayAdmit(const Member &announced, const std::vector<Member> &members, MonotonicTime now) const;
    /** Adopts what the members announce; returns whether any of them changed. */
    bool updateMembers(CellRow &row) const;

    std::vector<Member> m_announced;
    std::map<std::pair<NodeName, Incarnation>, MemberSlot> m_removed;
    struct JoinRequests {
        MonotonicTime first;
        MonotonicTime latest;
    };

    std::map<std::pair<NodeName, Incarnation>, JoinRequests> m_joinRequests;
};

/**
 * Orders the members as candidates for coordinator: first those with a large network link, since a coordinator sends its map and
 * the loads to all members, and last those that leave; among each kind, zones alternate.
 */
std::vector<Member> orderCandidates(const std::vector<Member> &members);

} // namespace nutmeghinge
