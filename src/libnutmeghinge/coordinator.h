#pragma once

#include "balancestrategy.h"
#include "coordinatorterm.h"
#include "ids.h"
#include "memberadmission.h"
#include "memberstatus.h"
#include "ownershipledger.h"
#include "peermessages.h"
#include "smoothedloads.h"
#include "units.h"

#include <map>
#include <vector>

namespace nutmeghinge {

class EffectList;
class ShardHandover;
struct CellContext;
struct Event;

/**
 * This node as candidate and coordinator: stands when no promise binds it,
 * grants leases in its term, decides who owns which shard and keeps the cell's
 * row up to date.
 */
class Coordinator
{
public:
    Coordinator(CellContext &context, const ShardHandover &handover);

    void tick(const Event &event, EffectList &effects);
    void promiseAnswered(MemberSlot from, const PromiseAnswer &answer, const Event &event, EffectList &effects);
    void heartbeatArrived(MemberSlot from, const Heartbeat &heartbeat, const Event &event, EffectList &effects);
    /** Nodes that announced themselves, as the table has them. */
    void noteAnnounced(std::vector<Member> announced) { m_admission.noteAnnounced(std::move(announced)); }
    /** A node that is no member lives and asks for a place. */
    void joinRequested(const JoinRequest &request, MonotonicTime now) { m_admission.noteJoinRequest(request, now); }
    /** The row that is about to be taken leaves some members out. */
    void noteRow(const CellRow &row, MonotonicTime now);
    /** The row read was not written by this node's term and ends it. */
    bool isOverruledBy(const CellRow &row) const;
    /** Ends the term or the candidature. */
    void end(const char *reason, const Event &event, EffectList &effects);
    /** A target knows a newer fence: a higher term with new fences begins. */
    void renewFences(const Event &event, EffectList &effects);

    bool isInOffice() const { return m_term.state() == CoordinatorTerm::State::InOffice; }
    /** In office, promised by a majority, and within the hold limit. */
    bool isActive(MonotonicTime now) const { return isInOffice() && now < activeUntil() && !needsProof(); }
    /** Time at which this node stops acting as coordinator unless it renews. */
    MonotonicTime activeUntil() const;
    Term term() const { return m_term.term(); }

private:
    // Term.
    void standIfDue(const Event &event, EffectList &effects);
    Duration jitter() const;
    void stand(const Event &event, EffectList &effects);
    void requestPromises(const Event &event, EffectList &effects);
    void takeOfficeIfPromised(const Event &event, EffectList &effects);
    void raiseTerm(const Event &event, EffectList &effects);
    void refreshTermEnd(MonotonicTime now);
    void noteMajority(MonotonicTime now);
    bool needsProof() const;
    MonotonicTime holdEnd() const;
    void resignIfIdle(const Event &event, EffectList &effects);

    // Members.
    void noteSelf(const Event &event, EffectList &effects);
    void noteHeartbeat(MemberStatus &status, const Heartbeat &heartbeat, MonotonicTime now);
    void answer(MemberSlot to, const Heartbeat &heartbeat, MemberStatus &status, const Event &event, EffectList &effects);
    void pushMap(MonotonicTime now, EffectList &effects);
    void noteLapses(MonotonicTime now, EffectList &effects);
    void refreshEligibility(const Event &event);
    bool isEligible(MemberSlot slot) const;
    std::vector<MemberSlot> eligibleMembers(const ShardSection &section) const;
    /** The member's target may own shards of the section. */
    bool serves(const Member &member, const ShardSection &section) const;
    bool isHeard(MemberSlot slot) const;
    Fence acknowledgedVersion(MonotonicTime now) const;
    std::vector<MemberLoad> collectLoads() const;

    // Shards.
    void endRecoveryIfDue(MonotonicTime now);
    bool allHeard(MonotonicTime now) const;
    /** Sections of the map; one over all shards in a cell of one service. */
    std::vector<ShardSection> sections() const;
    std::vector<ShardSection> sectionsWith(const std::vector<ShardSection> &known) const;
    const Document *documentOf(const ShardSection &section) const;
    void noteTargetIncarnation(MemberSlot from,
                               MemberStatus &status,
                               std::uint64_t targetIncarnation,
                               const std::vector<ShardIndex> &held,
                               const Fence &mapVersion,
                               MonotonicTime now,
                               EffectList &effects);
    void noteNodes(const CellRow &row);
    std::vector<std::pair<MemberSlot, NodeName>> formerNodes(const CellRow &row) const;
    bool areHoldersKnown() const;
    void assignShards(const Event &event, EffectList &effects);
    void grantToSuccessors(MonotonicTime now, EffectList &effects);
    void planMoves(const Event &event, EffectList &effects);
    std::vector<PlannedMove> planSection(const ShardSection &section, const Document &document, const Event &event);
    void emptyLeavingMembers(MonotonicTime now, EffectList &effects);
    std::vector<BalanceMember> balanceMembers(const ShardSection &section, const Event &event) const;
    std::vector<std::uint64_t> shardLoads(MonotonicTime now) const;
    bool sharesLoads() const;
    void publish();

    // Row.
    void writeRowIfDue(MonotonicTime now, EffectList &effects);
    bool isMemberChangeComplete(MonotonicTime now) const;
    bool mayRemove(MemberSlot slot, MonotonicTime now) const;

    CellContext &m_context;
    const ShardHandover &m_handover;
    CoordinatorTerm m_term;
    OwnershipLedger m_ledger;
    MemberAdmission m_admission;
    SmoothedLoads m_smoothedLoads;
    std::map<MemberSlot, MemberStatus> m_status;
    std::vector<std::vector<MemberSlot>> m_successors;
    /** Node of each slot, also of those that are no longer listed. */
    std::map<MemberSlot, NodeName> m_nodes;
    MonotonicTime m_standAt;
    bool m_standAtSet = false;
    MonotonicTime m_officeAt;
    /** When each member was found in the row for the first time. */
    std::map<MemberSlot, MonotonicTime> m_addedAt;
    MonotonicTime m_termEnd;
    MonotonicTime m_plannedAt;
    MonotonicTime m_nextRowWrite;
    MonotonicTime m_movesCountedAt;
    double m_moveBudget = 0;
    /** Time since which the majority is one only without the members that have ended; nothing while it is one of all. */
    std::optional<MonotonicTime> m_reducedSince;
    std::uint32_t m_failures = 0;
    bool m_renewFences = false;
};

} // namespace nutmeghinge
