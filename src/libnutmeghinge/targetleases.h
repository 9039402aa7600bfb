#pragma once

#include "ids.h"
#include "ownershipmap.h"
#include "targetlease.h"

#include <optional>
#include <string>
#include <vector>

namespace nutmeghinge {

struct TargetAnnounced;

/**
 * Target leases: the shards that the target beside this node holds, granted in
 * the answers to its heartbeats. A shard counts as held from the answer that
 * grants it until a later heartbeat reports its release, or until the lease has
 * expired on the target's clock even if that runs slow by the largest drift.
 * Owned by the CellContext.
 */
class TargetLeases
{
public:
    /** Sets the longest target lease that a heartbeat's answer grants; zero grants none. */
    void setHoldTime(Duration holdTime) { m_holdTime = holdTime; }

    /**
     * Applies the report in a heartbeat of the target. A restarted target holds
     * nothing; it is granted only shards with fences above mapVersion.
     */
    void announced(const TargetAnnounced &announcement, const ShardSection &section, const Fence &mapVersion, MonotonicTime now);
    /**
     * Returns the answer to the last heartbeat applied: all shards that the map
     * assigns to the node, for a time that ends within its member lease. Empty if
     * that lease is too short to be of use. With renewsOnly, only shards already
     * held are granted, because the map is from an earlier coordinator and the
     * present one does not know of other grants.
     */
    std::optional<TargetLeaseGrant>
    grant(const OwnershipMap &map, const ShardSection &section, MemberSlot self, MonotonicTime memberLeaseEnd, MonotonicTime now, bool renewsOnly = false);

    /** Returns whether the target holds the shard under the grant with this fence, and so may run requests on it. */
    bool mayRun(ShardIndex shard, const Fence &fence, MonotonicTime now) const;
    /** Returns whether the target has released the shard or its lease has certainly expired. */
    bool isFree(ShardIndex shard, MonotonicTime now) const;
    /** Returns the shards that the target may hold at this time. */
    std::vector<ShardIndex> held(MonotonicTime now) const;
    /** Returns the handover token with which the target released the shard; empty if there is none. */
    std::string handoverTokenOf(ShardIndex shard) const;
    /** Sets the handover token of the shard's last holder, which the next grant of the shard passes on. */
    void setHandoverToken(ShardIndex shard, std::string token);
    /** Drops all leases, because the target's process has certainly ended. Keeps the handover tokens for the next grants. */
    void clear();

private:
    struct Entry {
        bool reported = false;
        bool granted = false;
        Fence grantedFence;
        /** A heartbeat after the latest grant listed the shard under that grant's fence: the target had that answer or an earlier one. */
        bool listedSinceGrant = false;
        /** Time after which no lease on the shard that is not reported is valid. */
        MonotonicTime leaseEnd;
        /** Handover token of the last holder; cleared once the target reports the shard as held. */
        std::string incomingToken;
        /** Handover token with which this target released the shard. */
        std::string outgoingToken;
    };

    void resize(const ShardSection &section);
    const Entry *entryOf(ShardIndex shard) const;
    Entry *entryOf(ShardIndex shard);
    template <typename Range, typename Function>
    void forEachShard(const Range &range, Function function);

    Duration m_holdTime{0};
    std::uint32_t m_first = 0;
    std::uint64_t m_targetIncarnation = 0;
    /** Grants up to this fence were for an earlier incarnation of the target. */
    Fence m_highestEarlierFence;
    /** Time after which no target lease is valid. */
    MonotonicTime m_leasesEnd;
    std::vector<Entry> m_entries;
};

} // namespace nutmeghinge
