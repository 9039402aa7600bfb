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
 * Gives up the shards that this node is releasing: waits for their blocking
 * requests, hands the deduplication memory to the next owner and reports the
 * release.
 */
class ShardHandover
{
public:
    explicit ShardHandover(CellContext &context);

    void tick(MonotonicTime now, EffectList &effects);
    /** Another member hands over a shard's memory. */
    void offered(MemberSlot from, const HandoverOffer &offer, MonotonicTime now, EffectList &effects);
    void accepted(MemberSlot from, const HandoverAccepted &answer, EffectList &effects);

    /** Shards given up, by the fence they were held with, until the map shows another owner. */
    std::vector<std::pair<ShardIndex, Fence>> released() const;
    /** Shards that the map shows as this node's and that it has not given up. */
    std::vector<ShardIndex> held() const;

private:
    struct Release {
        Fence fence;
        MemberSlot next;
        MonotonicTime offerAt;
        bool released = false;
    };

    void proceed(ShardIndex shard, Release &release, MonotonicTime now, EffectList &effects);
    void finish(ShardIndex shard, Release &release, EffectList &effects);
    bool isReleased(ShardIndex shard) const;

    CellContext &m_context;
    std::map<ShardIndex, Release> m_releases;
    /** Fences of the offers taken, so that a repeated offer is not imported again. */
    std::map<ShardIndex, Fence> m_imported;
};

} // namespace nutmeghinge
