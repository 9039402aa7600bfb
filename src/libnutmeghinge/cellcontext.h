#pragma once

#include "cellrowkeeper.h"
#include "documentkeeper.h"
#include "memberlease.h"
#include "memberlist.h"
#include "memberload.h"
#include "nodeidentity.h"
#include "ownershipmap.h"
#include "peermessages.h"
#include "promisekeeper.h"
#include "targetholds.h"
#include "targetwatch.h"
#include "timings.h"

#include <vector>

namespace nutmeghinge {

class DocumentFormat;
class EffectList;
class ShardActivity;

/**
 * What the parts of a Cell share: this node's identity and what it knows of
 * its cell.
 */
struct CellContext {
    CellContext(NodeIdentity nodeIdentity, Timings cellTimings, ShardActivity &shardActivity, const DocumentFormat *format);

    /** This node's own row, as it announces itself. */
    Member announcement() const;
    void send(MemberSlot to, PeerMessage message, EffectList &effects) const;
    /** Takes a map with a higher version; true if it was taken. */
    bool learnMap(const OwnershipMap &newer);
    /** Puts a newer document in force. */
    bool offerDocument(const DocumentCopy &copy, EffectList &effects);
    /** Number of shards of the map without those of hot keys; 0 where there is no map. */
    std::uint32_t assignedShards() const;
    /** The cell holds the nodes of several services. */
    bool spansServices() const { return !identity.cell.value().empty(); }
    /** Service of the target beside this node; empty before it is known. */
    const ServiceName &targetService() const { return identity.service.value().empty() ? service : identity.service; }
    /** This node's target holds its shards by the answers to its own heartbeats. */
    bool holdsByHeartbeat() const;
    /** Section of the map that the target beside this node may own shards of; null where there is none. */
    const ShardSection *ownSection() const { return map.section(targetService()); }
    /** The target is to get no new work: by the document or by its own word. */
    bool isTargetLeaving(WallTime now) const;
    /** This node wants to give its shards away. */
    bool isLeaving(WallTime now) const { return stopping || isTargetLeaving(now); }
    /** Longest time for which work goes on after the end of its lease; zero where targets check fences or hold their keys inside the lease. */
    Duration executionWait() const;
    /** This node's load; shards and keys are named once a second only. */
    MemberLoad takeLoad(MonotonicTime now);

    const NodeIdentity identity;
    const Timings timings;
    ShardActivity &activity;
    /** Name of the cell; empty before the target has announced itself, where the cell is that of its service. */
    ServiceName service;
    MemberSlot self;
    bool stopping = false;
    MemberList members;
    PromiseKeeper promises;
    MemberLease lease;
    DocumentKeeper documents;
    TargetWatch target;
    TargetHolds holds;
    /** Incarnation of the target that has said what it holds; 0 where none has. */
    std::uint64_t reportedTarget = 0;
    CellRowKeeper row;
    OwnershipMap map;
    std::vector<MemberLoad> loads;
    /** Time up to which this node, as a new coordinator, may act without a write to the table. */
    MonotonicTime holdUntil;

private:
    MemberLoad m_load;
    MonotonicTime m_loadTakenAt;
};

} // namespace nutmeghinge
