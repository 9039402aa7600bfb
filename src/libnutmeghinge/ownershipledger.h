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
 * The coordinator's map of ownership for one term: which shards are free, who
 * gets them, and when a shard that moves may go to its next owner. Every change
 * raises the version of the map; a grant's fence is the version that made it.
 */
class OwnershipLedger
{
public:
    using Eligible = std::function<bool(MemberSlot)>;

    /** What a new coordinator knows when it takes office. */
    struct Start {
        Term term;
        /** Newest map known. */
        const OwnershipMap *base = nullptr;
        /** Number of shards by the document. */
        std::uint32_t shards = 0;
        /** Sections of the services of the cell; empty in a cell of one service. */
        std::vector<ShardSection> sections;
        MemberSlot self;
        /** The shards that the base shows as this node's are held by it now. */
        bool selfHolds = false;
        /** Shards that the base shows as owned by its own coordinator are free. */
        bool baseCoordinatorIsFree = false;
        /** Every grant gets a fence of this term, because a target knows a newer one than the base. */
        bool renewFences = false;
        /** Time from which free shards may be granted. */
        MonotonicTime freeAt;
    };

    /** Begins a term; shards whose holder is not known yet are granted to nobody until they are confirmed or the recovery ends. */
    void start(const Start &start);
    const OwnershipMap &map() const { return m_map; }

    bool isRecovering() const { return m_recovering; }
    /** Members that the base shows as owners of shards whose holder is not known yet. */
    std::set<MemberSlot> pendingOwners() const;
    /** A member holds the shards under a lease of an earlier term; knownVersion: the newest map that it knows. */
    void confirmHeld(MemberSlot holder, const std::vector<ShardIndex> &held, const Fence &knownVersion);
    /** No earlier lease can be valid any more: what nobody reported is free. */
    void finishRecovery();

    /** A node that restarted reports what its target still holds from its earlier slot: the shards stay with the node. */
    void transfer(MemberSlot from, MemberSlot to, const std::vector<ShardIndex> &held, MonotonicTime now, EffectList &effects);
    /** Adds sections of services that were not divided by key when the term began. */
    void addSections(const std::vector<ShardSection> &sections);
    /** The member's lease has lapsed: its shards are free from the given time on. */
    void lose(MemberSlot owner, MonotonicTime freeAt, EffectList &effects);
    /** Free shards, which may be granted now. */
    std::vector<ShardIndex> freeShards(MonotonicTime now) const;
    /** Grants free shards and starts to move owned ones. */
    void apply(const std::vector<PlannedMove> &moves, MonotonicTime now, EffectList &effects);
    /** The owner has drained the shard that it held by this fence and handed it over. */
    void noteReleased(MemberSlot owner, ShardIndex shard, const Fence &fence);
    /**
     * Grants released shards to their next owners, if a majority knows a map in
     * which they were being released; they become free where the next owner is
     * not eligible.
     */
    void advance(const Fence &acknowledged, const Eligible &eligible, MonotonicTime now, EffectList &effects);
    /** Gives moving shards another next owner where theirs is not eligible, or has not taken over for too long. */
    void retarget(const std::vector<MemberSlot> &eligible, const ShardSection &section, Duration patience, MonotonicTime now);
    /** The member owns or is releasing a shard. */
    bool owns(MemberSlot slot) const;
    /** Shards that moved less than the cool-down ago. */
    std::vector<bool> cooling(MonotonicTime now) const;

private:
    struct Progress {
        /** The holder under an earlier term is not known yet; claim is what the base said of it. */
        bool pending = false;
        ShardOwnership claim;
        MonotonicTime freeAt;
        MonotonicTime coolUntil;
        Fence releasingSince;
        MonotonicTime nextChosenAt;
        bool released = false;
    };

    void recordShard(TimelineRecord::Kind kind, std::size_t shard, EffectList &effects) const;
    void raiseVersion() { ++m_map.version.sequence; }
    bool isFree(std::size_t shard, MonotonicTime now) const;
    std::size_t endOfRelease(std::size_t first) const;
    void handOn(std::size_t shard, const Eligible &eligible, MonotonicTime now, EffectList &effects);
    void keepClaim(std::size_t shard, MemberSlot holder);
    void grant(std::size_t shard, MemberSlot to, MonotonicTime now, EffectList &effects);
    void startRelease(std::size_t shard, MemberSlot next, MonotonicTime now, EffectList &effects);

    OwnershipMap m_map;
    /** Version of the map that the term began with. */
    Fence m_baseVersion;
    std::vector<Progress> m_progress;
    bool m_recovering = false;
    bool m_renewFences = false;
};

} // namespace nutmeghinge
