#include "cellcontext.h"

#include "effectlist.h"
#include "shardactivity.h"

namespace nutmeghinge {

namespace {

constexpr Duration loadInterval = std::chrono::seconds(1);

} // namespace

CellContext::CellContext(NodeIdentity nodeIdentity, Timings cellTimings, ShardActivity &shardActivity)
    : identity(std::move(nodeIdentity))
    , timings(cellTimings)
    , activity(shardActivity)
    , promises(timings, identity.startedAt)
    , target(timings)
    , row(timings)
{
}

Member CellContext::announcement() const
{
    Member member;
    member.node = identity.node;
    member.incarnation = identity.incarnation;
    member.zone = identity.zone;
    member.region = identity.region;
    member.peerEndpoint = identity.peerEndpoint;
    member.controlEndpoint = identity.controlEndpoint;
    member.operationsEndpoint = identity.operationsEndpoint;
    member.leaving = stopping || target.isDraining();
    if (const std::optional<TargetAnnounced> &latest = target.latest()) {
        member.target = latest->target;
        member.slots = latest->slots;
    }
    return member;
}

void CellContext::send(MemberSlot to, PeerMessage message, EffectList &effects) const
{
    if (const Member *member = members.find(to)) {
        effects.add(SendPeerMessage{member->controlEndpoint, self, service, std::move(message)});
    }
}

bool CellContext::learnMap(const OwnershipMap &newer)
{
    if (newer.version <= map.version) {
        return false;
    }
    map = newer;
    return true;
}

bool CellContext::offerDocument(const DocumentCopy &copy, EffectList &effects)
{
    return documents.offer(copy, service, assignedShards(), effects);
}

std::uint32_t CellContext::assignedShards() const
{
    return static_cast<std::uint32_t>(map.shards.size() - map.hotKeys.size());
}

bool CellContext::isTargetLeaving(WallTime now) const
{
    const Document *document = documents.document();
    const std::optional<TargetAnnounced> &latest = target.latest();
    return target.isDraining() || (document && latest && document->isLeaving(latest->target, now));
}

Duration CellContext::executionWait() const
{
    const Document *document = documents.document();
    return !document || document->targetsCheckFence ? Duration(0) : timings.withDrift(document->executionLimit);
}

MemberLoad CellContext::takeLoad(MonotonicTime now)
{
    if (now >= m_loadTakenAt + loadInterval) {
        m_loadTakenAt = now;
        m_load = activity.takeLoad(now);
    } else {
        m_load.shards.clear();
        m_load.heavyKeys.clear();
    }
    m_load.slot = self;
    m_load.inFlight = activity.targetRequests();
    m_load.healthy = target.isHealthy(now);
    if (const std::optional<TargetAnnounced> &latest = target.latest()) {
        m_load.slots = latest->slots;
    }
    return m_load;
}

} // namespace nutmeghinge
