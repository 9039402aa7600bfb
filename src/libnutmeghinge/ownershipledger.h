#pragma once

#include "balancestrategy.h"
#include "fence.h"
#include "ids.h"
#include "ownershipmap.h"
#include "timelinerecord.h"
#include "units.h"

#include <functional>
#include <set>
#include <vector>

namespace nutmeghinge {

class EffectList;

/**
 * Maintains the ownership map of the coordinator for one term. Tracks which
 * shards are free, grants them to members, and decides when a released shard may
 * be granted to its next owner. Every change increments the version of the map;
 * the fence of a grant is the version of the map that introduced it.
 */
class OwnershipLedger
{
public:
    /** Returns whether a member may own shards. */
    using Eligible = std::function<bool(MemberSlot)>;

    /** State known to a new coordinator at the start of its term. */
    struct Start {
        Term term;
        /** Newest map known to the coordinator. Must not be null; only used during start(). */
        const OwnershipMap *base = nullptr;
        /** Number of shards set by the document. */
        std::uint32_t shards = 0;
        /** Sections of the cell's services; empty in a cell of one service. */
        std::vector<ShardSection> sections;
        /** Slot of the coordinator itself. */
        MemberSlot self;
        /** True if this node still holds the shards that the base map assigns to it. */
        bool selfHolds = false;
        /** True if the shards owned by the base map's coordinator are free. */
        bool baseCoordinatorShardsAreFree = false;
        /** True if every kept grant gets a fence of this term, because a target knows a newer fence than the base map. */
        bool renewFences = false;
        /** Earliest time at which free shards may be granted. */
        MonotonicTime freeAt;
    };

    /** Starts a term in recovery: shards whose holder is not confirmed are not granted until it is confirmed or recovery finishes. */
    void start(const Start &start);
    const OwnershipMap &map() const { return m_map; }

    /** Returns whether earlier leases may still be valid, so that shards without a confirmed holder are not free. */
    bool isRecovering() const { return m_recovering; }
    /** Returns the owners, according to the base map, of shards whose holder is not confirmed. */
    std::set<MemberSlot> unconfirmedOwners() const;
    /**
     * Confirms that a member holds shards under a lease of an earlier term.
     * @param knownVersion version of the newest map known to the member
     */
    void confirmHeld(MemberSlot holder, const std::vector<ShardIndex> &held, const Fence &knownVersion);
    /** Ends recovery once all earlier leases have expired: shards that no member reported become free. */
    void finishRecovery();

    /** Moves the shards that a restarted node's target still holds from the node's earlier slot to its new one. */
    void transfer(MemberSlot from, MemberSlot to, const std::vector<ShardIndex> &held, MonotonicTime now, EffectList &effects);
    /** Adds sections of services that became sharded by key after the term started. */
    void addSections(const std::vector<ShardSection> &sections);
    /** Revokes all shards of a member whose lease has expired; they are free from the given time. */
    void revokeShards(MemberSlot owner, MonotonicTime freeAt, EffectList &effects);
    /** Returns the free shards, which may be granted now. */
    std::vector<ShardIndex> freeShards(MonotonicTime now) const;
    /** Executes planned moves: grants free shards and starts to release owned ones. */
    void apply(const std::vector<PlannedMove> &moves, MonotonicTime now, EffectList &effects);
    /** Marks a shard as released: its owner has drained and handed over the shard that it held with this fence. */
    void markReleased(MemberSlot owner, ShardIndex shard, const Fence &fence);
    /**
     * Grants released shards to their next owners; a shard whose next owner is
     * not eligible becomes free.
     * @param acknowledged map version that a majority of members knows; shards
     * whose release started in a later version are left as they are
     */
    void grantReleasedShards(const Fence &acknowledged, const Eligible &eligible, MonotonicTime now, EffectList &effects);
    /**
     * Chooses another next owner for the section's releasing shards whose next
     * owner is not eligible or has not accepted the handover within the timeout.
     */
    void replaceNextOwners(const std::vector<MemberSlot> &eligible, const ShardSection &section, Duration timeout, MonotonicTime now);
    /** Returns whether the member owns or is releasing a shard. */
    bool owns(MemberSlot slot) const;
    /** Returns for each shard whether it moved less than the cool-down time ago. */
    std::vector<bool> cooling(MonotonicTime now) const;

private:
    /** State of one shard in this term, in addition to its entry in the map. */
    struct Progress {
        /** True during recovery while the shard's holder under an earlier term is unknown. */
        bool holderUnconfirmed = false;
        /** Entry of the shard in the base map, from which the term started. */
        ShardOwnership baseEntry;
        /** Earliest time at which the unowned shard may be granted. */
        MonotonicTime freeAt;
        /** End of the cool-down, before which the shard is not moved. */
        MonotonicTime coolUntil;
        /** Map version in which the release of the shard started. */
        Fence releasingSince;
        /** Time at which the next owner was chosen. */
        MonotonicTime nextChosenAt;
        /** True once the owner has reported the release. */
        bool released = false;
    };

    void recordShard(TimelineRecord::Kind kind, std::size_t shard, EffectList &effects) const;
    void incrementVersion() { ++m_map.version.sequence; }
    bool isFree(std::size_t shard, MonotonicTime now) const;
    std::size_t endOfReleasingSlice(std::size_t first) const;
    void grantToNextOwner(std::size_t shard, const Eligible &eligible, MonotonicTime now, EffectList &effects);
    void keepHolder(std::size_t shard, MemberSlot holder);
    void grant(std::size_t shard, MemberSlot to, MonotonicTime now, EffectList &effects);
    void startRelease(std::size_t shard, MemberSlot next, MonotonicTime now, EffectList &effects);

    OwnershipMap m_map;
    /** Version of the base map. */
    Fence m_baseVersion;
    std::vector<Progress> m_progress;
    bool m_recovering = false;
    bool m_renewFences = false;
};

} // namespace nutmeghinge
