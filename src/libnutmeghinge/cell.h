#pragma once

#include "events.h"
#include "nodeidentity.h"
#include "ownershipview.h"
#include "timings.h"

#include <memory>
#include <optional>

namespace nutmeghinge {

class DocumentFormat;
class EffectList;
class ShardActivity;
struct MembershipState;

/**
 * State of this node within its cell: membership, coordinator terms, leases,
 * the ownership map, handovers and the document in force. Owned by the Reducer.
 */
class Cell : public OwnershipView
{
public:
    /** The activity and the format must outlive the cell. Without a format, documents are parsed as YAML. */
    Cell(NodeIdentity identity, Timings timings, ShardActivity &activity, const DocumentFormat *format = nullptr);
    ~Cell() override;

    // Event handlers, called by the Reducer only.
    void tick(const Event &event, EffectList &effects);
    void stop(const Event &event, EffectList &effects);
    /** Ends this node's term if it is coordinator, even during a recovery, because the process is about to end. It starts no other. */
    void resign(const Event &event, EffectList &effects);
    void tableEpochChanged(const Event &event, EffectList &effects);
    void cellRowRead(const Event &event, EffectList &effects);
    void cellRowWriteFinished(const Event &event, EffectList &effects);
    void memberRowsRead(const Event &event, EffectList &effects);
    void memberRowWriteFinished(const Event &event, EffectList &effects);
    void documentRead(const Event &event, EffectList &effects);
    void documentFollowed(const Event &event, EffectList &effects);
    void cellsRead(const Event &event, EffectList &effects);
    void peerMessageArrived(const Event &event, EffectList &effects);
    /** Returns whether the announcement was applied. If not, it must have no effect elsewhere either. */
    bool targetAnnounced(const Event &event, EffectList &effects);
    void targetLeaving(const Event &event, EffectList &effects);
    void targetProbed(const Event &event, EffectList &effects);
    /** Returns whether the target is now known to leave and was not before. */
    bool targetStated(const Event &event, EffectList &effects);
    void targetGrantFinished(const Event &event, EffectList &effects);
    /** Tells the other members what this node has found out about requests under which targets crash. */
    void spreadCrashSuspects(EffectList &effects);
    /** Tells the other members that this node breaks off the requests of its callers after the given time. */
    void announceStop(Duration requestsEndIn, EffectList &effects);
    /** Handles a newer fence that the target has reported. */
    void handleNewerFence(Fence newer, const Event &event, EffectList &effects);

    const Document *document() const override;
    const Document *documentOf(const ServiceName &service) const override;
    const RouteTable *routes() const override;
    MemberSlot self() const override;
    const Member *member(MemberSlot slot) const override;
    const std::vector<Member> &members() const override;
    const OwnershipMap &map() const override;
    bool mayAdmit(ShardIndex shard, MonotonicTime now) const override;
    bool isTargetDraining() const override;
    MonotonicTime workDeadline() const override;
    const std::vector<MemberLoad> &loads() const override;
    const CellRow *otherCell(const std::string &host) const override;

    /** Returns whether the sender of the message is a member of this cell, and this node is. */
    bool isFromMember(const PeerMessageArrived &arrived) const;
    /** Returns the revision of the document in force at this node. */
    DocumentRevision documentRevision() const;
    /** Returns the time since that document was last known to be the newest; empty if it never was. */
    std::optional<Duration> documentAge(MonotonicTime now) const;
    /** Returns whether this node is the coordinator at this time. */
    bool isCoordinator(MonotonicTime now) const;
    /** Returns the coordinator term that this node follows, or its own if it is the coordinator. */
    Term term() const;
    /** Returns the revision of the member list. */
    CellRevision revision() const;
    /** Returns the slot of the last known coordinator; noMember if none is known. */
    MemberSlot coordinator() const;
    /** Returns the number of nodes that the cell does not admit because it is full; 0 if this node is not the coordinator. */
    std::size_t nodesWithoutRoom(MonotonicTime now) const;
    /** Returns how well the list of members keeps up with the nodes. */
    MembershipState membershipState(MonotonicTime now) const;
    /** Returns the incarnation of the target beside this node that is in use; empty before the first announcement. */
    std::optional<TargetInstance> target() const;
    /** Returns the time at which this node's member lease, or its term as coordinator, expires. */
    MonotonicTime leaseEnd() const;
    /** Returns whether this node, after a stop request, owns no shards and need not wait for its removal from the member list. */
    bool isStopped() const;
    /** Returns false while the platform has not yet acknowledged that this stopping node will not be coordinator any more. */
    bool hasAnnouncedResignation() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace nutmeghinge
