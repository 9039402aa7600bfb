#pragma once

#include "balancestrategy.h"
#include "coordinatorterm.h"
#include "ids.h"
#include "memberadmission.h"
#include "membershipstate.h"
#include "memberstatus.h"
#include "ownershipledger.h"
#include "ownershipmaphistory.h"
#include "peermessages.h"
#include "smoothedloads.h"
#include "units.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace nutmeghinge {

class EffectList;
class ShardHandover;
struct CellContext;
struct Event;

/**
 * This node as candidate and coordinator of its cell. Starts an election when
 * its own vote is free; once elected, it grants leases to the members, assigns
 * the shards to owners and keeps the cell row up to date.
 */
class Coordinator
{
public:
    Coordinator(CellContext &context, const ShardHandover &handover);

    /** Starts elections, renews the term, assigns shards and writes the cell row, whichever is due. */
    void tick(const Event &event, EffectList &effects);
    /** Counts a member's vote. If the member refused it because of a higher term, starts an election with a higher term. */
    void voteAnswered(MemberSlot from, const VoteAnswer &answer, const Event &event, EffectList &effects);
    /** Updates the state of the member and answers its heartbeat. */
    void heartbeatArrived(MemberSlot from, const Heartbeat &heartbeat, const Event &event, EffectList &effects);
    /** Replaces the known member rows by those last read from the table. */
    void recordAnnouncements(std::vector<Member> announced) { m_admission.setAnnounced(std::move(announced)); }
    /** Records that a node outside the cell requested to join it. */
    void joinRequested(const JoinRequest &request, MonotonicTime now) { m_admission.recordJoinRequest(request, now); }
    /** Records the nodes, new members and removed members of a cell row. Must be called before the member list is replaced by that row. */
    void updateFromRow(const CellRow &row, MonotonicTime now);
    /** Returns whether another coordinator wrote the row, so that this node's term must end. */
    bool isSupersededBy(const CellRow &row) const;
    /** Ends the term or the election. The reason goes into the timeline if a term ends. */
    void end(const std::string &reason, const Event &event, EffectList &effects);
    /**
     * Ends this node's term or election and starts an election with a higher term and new fences, because a target reported a newer
     * fence. Does nothing if this node is a follower.
     */
    void renewFences(const Event &event, EffectList &effects);

    /** Returns whether this node was elected and its term has not ended. */
    bool isElected() const { return m_term.state() == CoordinatorTerm::State::Coordinator; }
    /** Returns whether this node is neither coordinator nor a candidate. */
    bool isIdle() const { return m_term.state() == CoordinatorTerm::State::Follower; }
    /**
     * Returns whether this node may act as coordinator: it is elected, its majority and the hold limit have not expired, and it need
     * not write the cell row first.
     */
    bool isActive(MonotonicTime now) const { return isElected() && now < activeUntil() && !needsRowWrite(); }
    /** Returns the time at which this node stops acting as coordinator, unless its votes are renewed and the cell row is written. */
    MonotonicTime activeUntil() const;
    /** Returns the number of nodes that the cell does not admit because it is full; 0 if this node is not the coordinator. */
    std::size_t nodesWithoutRoom(MonotonicTime now) const;
    /** Returns how well the list of members keeps up. */
    MembershipState membershipState(MonotonicTime now) const;
    /** Returns the term of the latest election of this node. */
    Term term() const { return m_term.term(); }

private:
    // Term.
    void startElectionIfDue(const Event &event, EffectList &effects);
    Duration jitter() const;
    void startElection(const Event &event, EffectList &effects);
    void requestVotes(const Event &event, EffectList &effects);
    void becomeCoordinatorIfElected(const Event &event, EffectList &effects);
    void startElectionWithHigherTerm(const Event &event, EffectList &effects);
    void updateTermEnd(MonotonicTime now);
    void updateReducedMajority(MonotonicTime now);
    bool needsRowWrite() const;
    MonotonicTime holdLimitEnd() const;
    void resignIfIdle(const Event &event, EffectList &effects);

    // Members.
    void updateOwnStatus(const Event &event, EffectList &effects);
    void updateStatus(MemberStatus &status, const Heartbeat &heartbeat, MonotonicTime now);
    void answerHeartbeat(MemberSlot to, const Heartbeat &heartbeat, MemberStatus &status, const Event &event, EffectList &effects);
    /** Adds the map, or its changes since the version that the member is known to have, to the answer. */
    void addMap(HeartbeatAnswer &answer, MemberStatus &status, MonotonicTime now);
    void pushMap(MonotonicTime now, EffectList &effects);
    void expireLeases(MonotonicTime now, EffectList &effects);
    void updateEligibility(const Event &event);
    bool isEligible(MemberSlot slot) const;
    std::vector<MemberSlot> eligibleMembers(const ShardSection &section) const;
    /** Returns whether the member's target may own shards of the section. */
    bool serves(const Member &member, const ShardSection &section) const;
    bool hasHeartbeatFrom(MemberSlot slot) const;
    /** Returns the newest map version that a majority of the members is known to have. */
    Fence acknowledgedVersion(MonotonicTime now) const;
    std::vector<MemberLoad> collectLoads() const;

    // Shards.
    void endRecoveryIfDue(MonotonicTime now);
    /** Returns whether each member that may hold shards has sent a heartbeat in this term; targets of other services hold none. */
    bool hasHeartbeatFromAllHolders(MonotonicTime now) const;
    /** Returns the sections of the map; in a cell of one service, a single section with all shards. */
    std::vector<ShardSection> sections() const;
    std::vector<ShardSection> sectionsWith(const std::vector<ShardSection> &known) const;
    const Document *documentOf(const ShardSection &section) const;
    void updateTargetIncarnation(MemberSlot from,
                                 MemberStatus &status,
                                 std::uint64_t targetIncarnation,
                                 const std::vector<ShardIndex> &held,
                                 const Fence &mapVersion,
                                 MonotonicTime now,
                                 EffectList &effects);
    MonotonicTime leaseEndOf(MemberSlot slot, MonotonicTime now) const;
    void recordNodes(const CellRow &row);
    std::vector<std::pair<MemberSlot, NodeName>> formerNodes(const CellRow &row) const;
    bool areHeldShardsReported() const;
    void assignShards(const Event &event, EffectList &effects);
    void grantToSuccessors(MonotonicTime now, EffectList &effects);
    void planMoves(const Event &event, EffectList &effects);
    std::vector<PlannedMove> planSection(const ShardSection &section, const Document &document, const Event &event);
    void moveShardsOffLeavingMembers(MonotonicTime now, EffectList &effects);
    std::vector<BalanceMember> balanceMembers(const ShardSection &section, const Event &event) const;
    std::vector<std::uint64_t> shardLoads(MonotonicTime now) const;
    bool sharesLoads() const;
    void publish();

    // Row.
    /** Records that nodes cannot join because the cell is full. */
    void recordFullCell(MonotonicTime now, EffectList &effects);
    void writeRowIfDue(MonotonicTime now, EffectList &effects);
    bool isMemberChangeComplete(MonotonicTime now) const;
    /** Records the change of members that this node has written once a majority knows it. */
    void recordMemberChange(MonotonicTime now, EffectList &effects);
    /** Describes the votes that this node has and needs, for the record of a term or an election that ends. */
    std::string describeVotes(MonotonicTime now) const;
    bool mayRemove(MemberSlot slot, MonotonicTime now) const;

    CellContext &m_context;
    const ShardHandover &m_handover;
    CoordinatorTerm m_term;
    OwnershipLedger m_ledger;
    OwnershipMapHistory m_mapHistory;
    MemberAdmission m_admission;
    SmoothedLoads m_smoothedLoads;
    std::map<MemberSlot, MemberStatus> m_status;
    std::vector<std::vector<MemberSlot>> m_successors;
    /** Node of each slot, including slots that the member list no longer contains. */
    std::map<MemberSlot, NodeName> m_nodes;
    MonotonicTime m_electionAt;
    bool m_electionScheduled = false;
    MonotonicTime m_electedAt;
    /** Time at which each member was first seen in the cell row. */
    std::map<MemberSlot, MonotonicTime> m_addedAt;
    MonotonicTime m_termEnd;
    MonotonicTime m_plannedAt;
    MonotonicTime m_nextRowWrite;
    MonotonicTime m_nextSuspectsWrite;
    MonotonicTime m_nextFullCellCheck;
    MonotonicTime m_movesCountedAt;
    double m_moveBudget = 0;
    /** Time since which the votes are a majority only if ended members are not counted; empty while they are a majority of all members. */
    std::optional<MonotonicTime> m_majorityReducedSince;
    std::uint32_t m_failedElections = 0;
    MonotonicTime m_nextFailureRecord;
    /** Revision of the members that this node has written, and the time of the write, until a majority knows it. */
    std::optional<std::pair<CellRevision, MonotonicTime>> m_memberChange;
    std::uint64_t m_memberChanges = 0;
    Duration m_latestMemberChange{0};
    bool m_renewFences = false;
};

} // namespace nutmeghinge
