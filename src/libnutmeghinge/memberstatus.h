#pragma once

#include "fence.h"
#include "ids.h"
#include "memberload.h"
#include "units.h"

namespace nutmeghinge {

/** State of a member as known to the coordinator from the heartbeats of the current term. */
struct MemberStatus {
    /** Whether a heartbeat of this term was received. */
    bool heartbeatReceived = false;
    /** Send time of the latest heartbeat by the member's clock; heartbeats with an earlier time are ignored. */
    MonotonicTime sentAt;
    /** Time until which the member may regard its lease as valid, including clock drift. */
    MonotonicTime leaseEnd;
    /** Coordinator's clock when it received the latest heartbeat. */
    MonotonicTime lastHeartbeatAt;
    /** Time since which the member has been eligible. */
    MonotonicTime eligibleSince;
    /** Whether the member may own shards. */
    bool eligible = false;
    CellRevision revision;
    Fence mapVersion;
    DocumentRevision document;
    /** Version of the newest map that was sent to the member, and when. */
    Fence sentVersion;
    MonotonicTime mapSentAt;
    bool leaseExpired = false;
    /** Version of the map that last took the member's shards, other than by a handover. It gets a lease only together with that map. */
    Fence revokedVersion;
    /** Latest incarnation of the target that the member reported; 0 if none. */
    std::uint64_t targetIncarnation = 0;
    bool leaving = false;
    MemberLoad load;
    /** Time of the latest load report that listed shards or keys. */
    MonotonicTime shardLoadAt;
    /** Time at which the loads of all members were last sent to this member. */
    MonotonicTime loadsSentAt;
};

} // namespace nutmeghinge
