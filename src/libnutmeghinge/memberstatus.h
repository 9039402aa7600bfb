#pragma once

#include "fence.h"
#include "ids.h"
#include "memberload.h"
#include "units.h"

namespace nutmeghinge {

/** What a coordinator knows of one member from its heartbeats in the present term. */
struct MemberStatus {
    /** A heartbeat of this term has come; false for a member that is only listed. */
    bool heard = false;
    /** Sender's clock in the latest heartbeat; an earlier one is stale. */
    MonotonicTime sentAt;
    /** Time up to which the member may believe its lease valid; counted with drift. */
    MonotonicTime leaseEnd;
    MonotonicTime heardAt;
    /** Time since which the member may own shards. */
    MonotonicTime eligibleSince;
    bool eligible = false;
    CellRevision revision;
    Fence mapVersion;
    DocumentRevision document;
    /** Newest map that was sent without being asked for. */
    Fence pushedVersion;
    bool lapsed = false;
    /** Incarnation of the target that the member last reported; 0 where it reported none. */
    std::uint64_t targetIncarnation = 0;
    bool leaving = false;
    MemberLoad load;
    /** Time of the latest load that named shards. */
    MonotonicTime shardLoadAt;
    /** Time at which the member was last sent the loads of all. */
    MonotonicTime loadsSentAt;
};

} // namespace nutmeghinge
