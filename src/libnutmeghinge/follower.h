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
    /** This node got another slot, or none: to a coordinator it is another member now. */
    void slotChanged();
    void heartbeatAnswered(MemberSlot from, const HeartbeatAnswer &answer, const Event &event, EffectList &effects);
    /** The next heartbeat goes out with the next tick. */
    void hurry() { m_hurry = true; }

private:
    bool followsOther() const;
    void sendHeartbeat(const Event &event, EffectList &effects);
    void reportHolds();
    void recordLease(MonotonicTime now, EffectList &effects);

    CellContext &m_context;
    const ShardHandover &m_handover;
    MonotonicTime m_nextHeartbeat;
    bool m_hurry = false;
    /** Heartbeats tell what the target holds. */
    bool m_reportHolds = false;
    /** When the first of them was sent; the latest time there is where none was. */
    MonotonicTime m_holdsToldAt = MonotonicTime::max();
    std::uint64_t m_targetIncarnation = 0;
    bool m_leaseHeld = false;
    /** Term whose coordinator has answered a heartbeat. */
    Term m_answeredTerm;
    DocumentRevision m_coordinatorDocument;
    std::size_t m_releasesReported = 0;
};

} // namespace nutmeghinge
