#include "cellcontext.h"

#include "effectlist.h"
#include "shardactivity.h"
#include "stopschedule.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

/** Interval at which the load of shards and keys is collected. */
constexpr Duration loadInterval = std::chrono::seconds(1);

} // namespace

CellContext::CellContext(NodeIdentity nodeIdentity, Timings cellTimings, ShardActivity &shardActivity, const DocumentFormat *format)
    : identity(std::move(nodeIdentity))
    , timings(cellTimings)
    , activity(shardActivity)
    , service(identity.cell)
    , voteRecord(timings, identity.startedAt)
    , documents(format)
    , target(timings)
    , row(timings)
{
    documents.setLongestWork(StopSchedule::longestWork(timings.stopLimit));
}

Member CellContext::announcement() const
{
    Member member;
    member.node = identity.node;
    member.incarnation = identity.incarnation;
    member.service = identity.service;
    member.zone = identity.zone;
    member.region = identity.region;
    member.peerEndpoint = identity.peerEndpoint;
    member.controlEndpoint = identity.controlEndpoint;
    member.operationsEndpoint = identity.operationsEndpoint;
    member.linkMegabits = identity.linkMegabits;
    member.leaving = stopping;
    member.resigned = resigned;
    if (spansServices()) {
        // The target's state changes often, so it is sent with heartbeats and not kept in the member list.
        return member;
    }
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

bool CellContext::updateMap(const OwnershipMap &newer)
{
    if (newer.version <= map.version) {
        return false;
    }
    map = newer;
    return true;
}

bool CellContext::updateMap(const OwnershipMapChanges &changes)
{
    return changes.version > map.version && changes.applyTo(map);
}

bool CellContext::offerDocument(const DocumentCopy &copy, DocumentSource source, MonotonicTime now, EffectList &effects)
{
    const DocumentArrival arrival{source, documentFreshness.age(now)};
    return documents.offer(copy, targetService(), spansServices() ? 0 : assignedShards(), arrival, effects);
}

std::uint32_t CellContext::assignedShards() const
{
    return static_cast<std::uint32_t>(map.shards.size() - map.hotKeys.size());
}

bool CellContext::usesTargetLeases() const
{
    const Document *document = documents.document();
    return document && document->grantsByHeartbeat;
}

Duration CellContext::targetLeaseLimit() const
{
    const Document *document = documents.document();
    if (!document || !document->grantsByHeartbeat) {
        return Duration(0);
    }
    const Duration bound = timings.maxTargetLease;
    return bound == Duration::zero() ? document->holdTime : std::min(bound, document->holdTime);
}

bool CellContext::isTargetLeaving(WallTime now) const
{
    const Document *document = documents.document();
    const std::optional<TargetAnnounced> &latest = target.latest();
    return target.isDraining() || (document && latest && document->isLeaving(latest->target, now));
}

Duration CellContext::executionWait() const
{
    Duration longest(0);
    if (const DocumentSet *set = documents.documents()) {
        for (const Document &document : set->services) {
            const bool enforced = document.targetsCheckFence || document.grantsByHeartbeat || (spansServices() && !document.isSharded());
            longest = std::max(longest, enforced ? Duration(0) : timings.withDrift(document.executionLimit));
        }
    }
    return longest;
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
    m_load.healthy = target.isHealthy(now) && !target.isDraining();
    if (const std::optional<TargetAnnounced> &latest = target.latest()) {
        // The router reports fewer slots if the target names a limit.
        m_load.slots = m_load.slots == 0 ? latest->slots : std::min(m_load.slots, latest->slots);
    }
    return m_load;
}

} // namespace nutmeghinge
