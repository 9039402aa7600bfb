#pragma once

#include "deduplicationentry.h"
#include "ids.h"
#include "memberload.h"
#include "targetstatement.h"
#include "units.h"

#include <cstdint>
#include <vector>

namespace nutmeghinge {

class CrashSuspects;

/**
 * Interface through which the ownership code queries the requests on this node.
 * Implemented by RequestRouter and by fakes in tests.
 */
class ShardActivity
{
public:
    virtual ~ShardActivity() = default;

    /**
     * Returns the number of requests on the shard that must end before it may be
     * handed over: all except those with a safe method whose answer has started.
     */
    virtual std::uint32_t blockingRequests(ShardIndex shard) const = 0;
    /** Returns the number of requests of any kind on this node that have not ended. */
    virtual std::uint32_t runningRequests() const = 0;
    /** Returns the number of requests that the local target runs or that wait for its slots, without those forwarded to other nodes. */
    virtual std::uint32_t targetRequests() const { return runningRequests(); }
    /** Returns whether the target's limit allows a probe now, and counts it as sent if so. */
    virtual bool takeProbe(MonotonicTime /*now*/) { return true; }
    /**
     * Returns whether the target's own side shows that its incarnation has ended: its connections broke and nothing listens at its
     * endpoint, or the named successor answers there.
     */
    virtual bool hasTargetEnded(const TargetInstance & /*target*/, const TargetName & /*successor*/) const { return false; }
    /** Returns what is known of requests under which targets crashed. */
    virtual CrashSuspects &crashSuspects() = 0;
    /** Returns the load since the last call. */
    virtual MemberLoad takeLoad(MonotonicTime now) = 0;
    /** Returns the deduplication memory of the shard, for a handover. */
    virtual std::vector<DeduplicationEntry> exportDeduplication(ShardIndex shard, MonotonicTime now) const = 0;
    /** Imports deduplication entries of another node. */
    virtual void importDeduplication(const std::vector<DeduplicationEntry> &entries, MonotonicTime now) = 0;
};

} // namespace nutmeghinge
