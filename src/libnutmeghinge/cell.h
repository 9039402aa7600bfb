#pragma once

#include "events.h"
#include "nodeidentity.h"
#include "ownershipview.h"
#include "timings.h"

#include <memory>

namespace nutmeghinge {

class DocumentFormat;
class EffectList;
class ShardActivity;

/**
 * This node's part in its cell: membership, coordinator terms, leases, the map
 * of ownership, handovers and the document in force. Owned by the Reducer.
 */
class Cell : public OwnershipView
{
public:
    /** The activity and the format must outlive the cell; without a format documents are the product's own. */
    Cell(NodeIdentity identity, Timings timings, ShardActivity &activity, const DocumentFormat *format = nullptr);
    ~Cell() override;

    // Events; each is called by the Reducer only.
    void tick(const Event &event, EffectList &effects);
    void stop(const Event &event, EffectList &effects);
    void cellRowRead(const Event &event, EffectList &effects);
    void cellRowWriteFinished(const Event &event, EffectList &effects);
    void memberRowsRead(const Event &event, EffectList &effects);
    void memberRowWriteFinished(const Event &event, EffectList &effects);
    void documentRead(const Event &event, EffectList &effects);
    void documentFollowed(const Event &event, EffectList &effects);
    void cellsRead(const Event &event, EffectList &effects);
    void peerMessageArrived(const Event &event, EffectList &effects);
    void targetAnnounced(const Event &event, EffectList &effects);
    void targetLeaving(const Event &event, EffectList &effects);
    void targetProbed(const Event &event, EffectList &effects);
    void targetGrantFinished(const Event &event, EffectList &effects);
    /** The target named a newer fence than this node holds. */
    void sawNewerFence(Fence newer, const Event &event, EffectList &effects);

    const Document *document() const override;
    const Document *documentOf(const ServiceName &service) const override;
    const RouteTable *routes() const override;
    MemberSlot self() const override;
    const Member *member(MemberSlot slot) const override;
    const std::vector<Member> &members() const override;
    const OwnershipMap &map() const override;
    bool mayAdmit(ShardIndex shard, MonotonicTime now) const override;
    MonotonicTime workEndsBefore() const override;
    const std::vector<MemberLoad> &loads() const override;
    const CellRow *otherCell(const std::string &host) const override;

    /** Revision of the document in force at this node. */
    DocumentRevision documentRevision() const;
    /** This node holds the coordinator's term now. */
    bool isCoordinator(MonotonicTime now) const;
    /** Term that this node follows or leads. */
    Term term() const;
    /** Revision of the list of members. */
    CellRevision revision() const;
    /** Slot of the coordinator as last heard; noMember where none is known. */
    MemberSlot coordinator() const;
    /** Time at which the member lease ends. */
    MonotonicTime leaseEnd() const;
    /** Every shard has been handed over and the lease given back after a stop. */
    bool isStopped() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace nutmeghinge
