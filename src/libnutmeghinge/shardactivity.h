#pragma once

#include "deduplicationentry.h"
#include "ids.h"
#include "memberload.h"
#include "units.h"

#include <cstdint>
#include <vector>

namespace nutmeghinge {

/**
 * What ownership may know of the requests on this node. Implemented by the
 * RequestRouter; tests implement it by hand.
 */
class ShardActivity
{
public:
    virtual ~ShardActivity() = default;

    /**
     * Requests on the shard that must end before it may be handed over: all but
     * those with a safe method whose answer has begun.
     */
    virtual std::uint32_t blockingRequests(ShardIndex shard) const = 0;
    /** Requests on this node that have not ended, of any kind. */
    virtual std::uint32_t runningRequests() const = 0;
    /** Requests that the target beside this node runs or that wait for its slots; without those forwarded to other nodes. */
    virtual std::uint32_t targetRequests() const { return runningRequests(); }
    /** Load since the last call. */
    virtual MemberLoad takeLoad(MonotonicTime now) = 0;
    /** Deduplication memory of the shard, for a handover. */
    virtual std::vector<DeduplicationEntry> exportDeduplication(ShardIndex shard, MonotonicTime now) const = 0;
    /** Takes over another node's deduplication memory. */
    virtual void importDeduplication(const std::vector<DeduplicationEntry> &entries, MonotonicTime now) = 0;
};

} // namespace nutmeghinge
