#pragma once

#include "ids.h"
#include "peermessages.h"
#include "units.h"

namespace nutmeghinge {

class EffectList;
class ShardHandover;
struct CellContext;
struct Event;

/**
 * This node as a member that follows a coordinator: answers vote requests and
 * keeps its lease valid by sending heartbeats.
 */
class Follower
{
public:
    Follower(CellContext &context, const ShardHandover &handover);

    /** Sends a heartbeat if one is due, and records changes of the lease in the timeline. */
    void tick(const Event &event, EffectList &effects);
    /** Grants or refuses the candidate this node's vote and sends the answer. */
    void voteRequested(MemberSlot from, const VoteRequest &request, const Event &event, EffectList &effects);
    /** Handles a report of the target beside this node. If the target's incarnation has changed, the next heartbeats list the shards that it holds. */
    void targetReported();
    /** Handles a change or loss of this node's slot. To the coordinator it is a new member, so the next heartbeats list the shards that it holds. */
    void slotChanged();
    /** Extends the lease as the answer grants, and takes over a newer map, document or loads. */
    void heartbeatAnswered(MemberSlot from, const HeartbeatAnswer &answer, const Event &event, EffectList &effects);
    /** Makes the next tick send a heartbeat. */
    void sendHeartbeatOnNextTick() { m_heartbeatRequested = true; }

private:
    bool followsOtherCandidate() const;
    void sendHeartbeat(const Event &event, EffectList &effects);
    void reportHeldShards();
    void recordLease(MonotonicTime now, EffectList &effects);

    CellContext &m_context;
    const ShardHandover &m_handover;
    MonotonicTime m_nextHeartbeat;
    bool m_heartbeatRequested = false;
    /** Whether heartbeats list the shards that the target holds. */
    bool m_reportHeldShards = false;
    /** Send time of the first heartbeat that listed them; MonotonicTime::max() if none was sent. */
    MonotonicTime m_heldShardsReportedAt = MonotonicTime::max();
    std::uint64_t m_targetIncarnation = 0;
    bool m_leaseHeld = false;
    /** Latest term in which the coordinator answered a heartbeat. */
    Term m_answeredTerm;
    DocumentRevision m_coordinatorDocument;
    std::size_t m_releasesReported = 0;
};

} // namespace nutmeghinge
