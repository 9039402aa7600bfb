#pragma once

#include "ids.h"
#include "ownershipmap.h"
#include "targethold.h"

#include <optional>
#include <string>
#include <vector>

namespace nutmeghinge {

struct TargetAnnounced;

/**
 * What the target beside this node holds by the answers to its own heartbeats.
 * A shard counts as held from the answer that grants it until a later heartbeat
 * shows that it was given up, or until the last moment at which the target's
 * clock can let the hold run. Owned by the CellContext.
 */
class TargetHolds
{
public:
    /** Longest hold that a heartbeat's answer grants; zero grants none. */
    void setHoldTime(Duration holdTime) { m_holdTime = holdTime; }

    /**
     * Takes the report of a heartbeat. A new start of the target holds nothing and
     * is granted only what the map gives the node after the given version.
     */
    void announced(const TargetAnnounced &announcement, const ShardSection &section, const Fence &mapVersion, MonotonicTime now);
    /**
     * The answer to the heartbeat that was taken last: all shards that the map
     * gives to the node, for a time that ends inside its lease. Nothing where
     * the lease is too short to be of use. renewsOnly: the map is of an earlier
     * coordinator, and the present one knows only of what is held already.
     */
    std::optional<HoldGrant>
    grant(const OwnershipMap &map, const ShardSection &section, MemberSlot self, MonotonicTime leaseEnd, MonotonicTime now, bool renewsOnly = false);

    /** The target runs requests on the shard now, by the grant with this fence. */
    bool mayRun(ShardIndex shard, const Fence &fence, MonotonicTime now) const;
    /** The target has given the shard up, or its hold has certainly run out. */
    bool isFree(ShardIndex shard, MonotonicTime now) const;
    /** Shards that the target may hold now. */
    std::vector<ShardIndex> held(MonotonicTime now) const;
    /** Handover token with which the target released the shard; empty where there is none. */
    std::string handoverOf(ShardIndex shard) const;
    /** Takes the token of the shard's last holder, for the next grant. */
    void setHandover(ShardIndex shard, std::string handover);
    /** The target's process has certainly ended: it holds nothing. */
    void clear();

private:
    struct Entry {
        bool reported = false;
        Fence reportedFence;
        bool granted = false;
        Fence grantedFence;
        /** Of the last holder, until the target has reported the shard. */
        std::string incoming;
        /** Of this target, when it released the shard. */
        std::string outgoing;
    };

    void resize(const ShardSection &section);
    const Entry *entryOf(ShardIndex shard) const;
    Entry *entryOf(ShardIndex shard);
    template <typename Range, typename Function>
    void forEachShard(const Range &range, Function function);

    Duration m_holdTime{0};
    std::uint32_t m_first = 0;
    std::uint64_t m_targetIncarnation = 0;
    /** Grants up to this fence were for an earlier start of the target. */
    Fence m_earlierFences;
    /** No hold runs after this. */
    MonotonicTime m_holdEnd;
    std::vector<Entry> m_entries;
};

} // namespace nutmeghinge
