#pragma once

#include "fence.h"
#include "ids.h"
#include "peermessages.h"
#include "units.h"

#include <map>
#include <utility>
#include <vector>

namespace nutmeghinge {

class EffectList;
struct CellContext;

/**
 * Releases the shards that the map shows as being released by this node: waits
 * for their blocking requests to end, hands their deduplication memory to the
 * next owner and reports the release.
 */
class ShardHandover
{
public:
    explicit ShardHandover(CellContext &context);

    /** Takes over changes of the ownership map and proceeds with each release; repeats offers that were not accepted. */
    void tick(MonotonicTime now, EffectList &effects);
    /** Imports the deduplication memory of a shard offered by another member, and accepts the offer. */
    void offered(MemberSlot from, const HandoverOffer &offer, MonotonicTime now, EffectList &effects);
    /** Completes the release of a shard whose next owner has accepted the offer. */
    void accepted(MemberSlot from, const HandoverAccepted &answer, EffectList &effects);

    /** Returns the released shards with the fences they were held with, until the map no longer shows them as being released. */
    std::vector<std::pair<ShardIndex, Fence>> released() const;
    /** Returns the shards that the map shows as owned by this node and that it has not released. */
    std::vector<ShardIndex> held() const;

private:
    struct Release {
        /** Fence that this node holds the shard with. */
        Fence fence;
        /** Next owner; noMember if there is none. */
        MemberSlot next;
        /** Earliest time of the next offer. */
        MonotonicTime offerAt;
        /** True once the shard is released. */
        bool released = false;
    };

    void offerOrFinish(ShardIndex shard, Release &release, MonotonicTime now, EffectList &effects);
    void finish(ShardIndex shard, Release &release, EffectList &effects);
    bool isReleased(ShardIndex shard) const;

    CellContext &m_context;
    std::map<ShardIndex, Release> m_releases;
    /** Fences of the imported offers by shard, so that a repeated offer is not imported again. */
    std::map<ShardIndex, Fence> m_imported;
};

} // namespace nutmeghinge
