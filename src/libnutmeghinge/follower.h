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
 * This node as a member that follows a coordinator: answers requests for
 * promises and keeps its lease by heartbeats.
 */
class Follower
{
public:
    Follower(CellContext &context, const ShardHandover &handover);

    void tick(const Event &event, EffectList &effects);
    void promiseRequested(MemberSlot from, const PromiseRequest &request, const Event &event, EffectList &effects);
    /** The target beside this node has said what it holds. */
    void targetReported();
    void heartbeatAnswered(MemberSlot from, const HeartbeatAnswer &answer, const Event &event, EffectList &effects);
    /** The next heartbeat goes out with the next tick. */
    void hurry() { m_hurry = true; }

private:
    bool followsOther() const;
    void sendHeartbeat(const Event &event, EffectList &effects);
    void recordLease(MonotonicTime now, EffectList &effects);

    CellContext &m_context;
    const ShardHandover &m_handover;
    MonotonicTime m_nextHeartbeat;
    bool m_hurry = false;
    /** The next heartbeat tells what the target holds. */
    bool m_reportHolds = false;
    std::uint64_t m_targetIncarnation = 0;
    bool m_leaseHeld = false;
    /** Term whose coordinator has answered a heartbeat. */
    Term m_answeredTerm;
    DocumentRevision m_coordinatorDocument;
    std::size_t m_releasesReported = 0;
};

} // namespace nutmeghinge
