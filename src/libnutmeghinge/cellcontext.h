#pragma once

#include "activedocument.h"
#include "cellrowstore.h"
#include "documentfreshness.h"
#include "memberlease.h"
#include "memberlist.h"
#include "memberload.h"
#include "nodeidentity.h"
#include "ownershipmap.h"
#include "peermessages.h"
#include "targetleases.h"
#include "targetwatch.h"
#include "timings.h"
#include "voterecord.h"

#include <vector>

namespace nutmeghinge {

class DocumentFormat;
class EffectList;
class ShardActivity;

/** State that the parts of a Cell share: this node's identity and what it knows about its cell. */
struct CellContext {
    CellContext(NodeIdentity nodeIdentity, Timings cellTimings, ShardActivity &shardActivity, const DocumentFormat *format);

    /** Returns the member row by which this node announces itself. */
    Member announcement() const;
    /** Sends a message to the member in the slot; does nothing if there is no such member. */
    void send(MemberSlot to, PeerMessage message, EffectList &effects) const;
    /** Replaces the map by one with a higher version. Returns whether the map was replaced. */
    bool updateMap(const OwnershipMap &newer);
    /** Applies the changes if they lead to a newer version and fit the known one. Returns whether they did. */
    bool updateMap(const OwnershipMapChanges &changes);
    /** Puts a newer, valid document in force. Returns whether it came into force. */
    bool offerDocument(const DocumentCopy &copy, DocumentSource source, MonotonicTime now, EffectList &effects);
    /** Returns the number of shards in the map, excluding those of hot keys; 0 without a map. */
    std::uint32_t assignedShards() const;
    /** Returns whether the cell contains the nodes of several services. */
    bool spansServices() const { return !identity.cell.value().empty(); }
    /** Returns the service of the target beside this node; empty before it is known. */
    const ServiceName &targetService() const { return identity.service.value().empty() ? service : identity.service; }
    /** Returns whether this node's target gets its shards by target leases, granted in the answers to its heartbeats. */
    bool usesTargetLeases() const;
    /** Returns the longest time for which a target may hold shards after its node's last answer; zero without target leases. */
    Duration targetLeaseLimit() const;
    /** Returns the section of the map whose shards the target beside this node may own; null if there is none. */
    const ShardSection *ownSection() const { return map.section(targetService()); }
    /** Returns whether the target should receive no new requests, because it drains or the document marks it as leaving. */
    bool isTargetLeaving(WallTime now) const;
    /** Returns whether this node gives up its shards, because it stops or its target leaves. */
    bool isLeaving(WallTime now) const { return stopping || isTargetLeaving(now); }
    /** Returns the longest time for which requests may run on after their lease expires; zero if targets check fences or hold target leases. */
    Duration executionWait() const;
    /** Returns this node's load; shards and keys are included once a second only. */
    MemberLoad takeLoad(MonotonicTime now);

    const NodeIdentity identity;
    const Timings timings;
    ShardActivity &activity;
    /** Name of the cell. A cell of one service is named after it, so the name is empty before the target has announced itself. */
    ServiceName service;
    /** Slot of this node; noMember if it is not a member. */
    MemberSlot self;
    /** Whether this node was asked to stop. */
    bool stopping = false;
    /** This node is stopping and starts no further term as coordinator. */
    bool resigned = false;
    MemberList members;
    VoteRecord voteRecord;
    MemberLease lease;
    ActiveDocument documents;
    DocumentFreshness documentFreshness;
    TargetWatch target;
    TargetLeases targetLeases;
    /** Incarnation of the target that last reported its held ranges; 0 if none has. */
    std::uint64_t reportedTargetIncarnation = 0;
    CellRowStore row;
    OwnershipMap map;
    /** Loads of the members as last collected by the coordinator. */
    std::vector<MemberLoad> loads;
    /** Time until which this node, as a new coordinator, may act without having written the cell row. */
    MonotonicTime holdLimitExpiresAt;

private:
    MemberLoad m_load;
    MonotonicTime m_loadTakenAt;
};

} // namespace nutmeghinge
