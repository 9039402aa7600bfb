#include "routeplanner.h"

#include "cellrow.h"
#include "document.h"
#include "ownershipmap.h"
#include "ownershipview.h"
#include "shardof.h"

namespace nutmeghinge {

ShardIndex RoutePlanner::shardOf(const Request &request, const OwnershipView &ownership)
{
    const Document *document = ownership.document();
    if (!request.sharded || !document) {
        return ShardIndex(0);
    }
    if (request.routed) {
        const ShardSection *section = ownership.map().section(request.service);
        return section ? ShardIndex(section->first + shardOfNumber(request.key, section->count)) : noShard;
    }
    return shardOfHash(request.keyHash, ownership.map(), document->shards);
}

RoutePlanner::RoutePlanner(std::uint64_t seed)
    : m_seed(seed)
    , m_random(~seed)
{
}

ReplicaChoice &RoutePlanner::replicasFor(const Request &request)
{
    const ServiceName service = request.routed ? request.service : ServiceName();
    const auto found = m_replicas.find(service);
    if (found != m_replicas.end()) {
        return found->second;
    }
    return m_replicas.emplace(service, ReplicaChoice(m_seed + m_replicas.size(), service)).first->second;
}

void RoutePlanner::invalidateReplicas()
{
    for (auto &[service, replicas] : m_replicas) {
        replicas.invalidate();
    }
}

Route RoutePlanner::plan(const Request &request, const OwnershipView &ownership, MonotonicTime now, WallTime wallTime)
{
    if (!request.otherHost.empty()) {
        return planOtherCell(request, ownership);
    }
    // A node of another service forwards to any replica; that replica forwards to the one chosen by the Idempotency-Key.
    const bool choosesReplica = request.hops == 0 || (request.hops == 1 && (request.suspect || !request.deduplicationKey.empty()));
    if (!request.sharded && choosesReplica) {
        return planReplica(request, ownership, now, wallTime);
    }
    if (const auto target = planTarget(request, ownership, now)) {
        return *target;
    }
    return request.sharded ? planOwner(request, ownership) : NoRoute{};
}

std::optional<RouteToTarget> RoutePlanner::planTarget(const Request &request, const OwnershipView &ownership, MonotonicTime now)
{
    const OwnershipMap &map = ownership.map();
    const Document *own = ownership.document();
    if (request.routed && (!own || own->service != request.service)) {
        return std::nullopt;
    }
    const ShardIndex shard = shardOf(request, ownership);
    if (!ownership.mayAdmit(shard, now)) {
        return std::nullopt;
    }
    const bool listed = request.sharded && shard.value() < map.shards.size();
    return RouteToTarget{shard, listed ? map.shards[shard.value()].fence : map.version};
}

Route RoutePlanner::planOwner(const Request &request, const OwnershipView &ownership)
{
    const OwnershipMap &map = ownership.map();
    const ShardIndex shard = shardOf(request, ownership);
    if (shard.value() >= map.shards.size()) {
        return NoRoute{};
    }
    const ShardOwnership &entry = map.shards[shard.value()];
    const Member *owner = ownership.member(entry.owner);
    // An owner whose target holds a lease by heartbeats serves a moving shard until its target releases it.
    const bool releasing = request.routed && entry.state == ShardOwnership::State::Releasing;
    if ((entry.state != ShardOwnership::State::Owned && !releasing) || entry.owner == ownership.self() || !owner) {
        return NoRoute{};
    }
    return RouteToMember{owner, entry.fence};
}

Route RoutePlanner::planReplica(const Request &request, const OwnershipView &ownership, MonotonicTime now, WallTime wallTime)
{
    const bool needsSameReplica = !request.deduplicationKey.empty();
    ReplicaChoice &replicas = replicasFor(request);
    std::optional<MemberSlot> chosen;
    if (needsSameReplica) {
        chosen = replicas.chooseForKey(ownership, hashOfKey(request.deduplicationKey), now, wallTime);
    } else if (request.suspect) {
        chosen = replicas.chooseForSuspect(ownership, request, now, wallTime);
    } else {
        const bool needsFaster = request.expiredWork > Duration::zero();
        chosen = needsFaster ? replicas.chooseFaster(ownership, request, now, wallTime) : std::nullopt;
        chosen = chosen ? chosen : replicas.choose(ownership, request, now, wallTime);
    }
    if (!chosen) {
        return NoRoute{};
    }
    if (*chosen == ownership.self()) {
        const auto target = planTarget(request, ownership, now);
        return target ? Route(*target) : NoRoute{};
    }
    const Member *member = ownership.member(*chosen);
    return member ? Route(RouteToMember{member, ownership.map().version}) : NoRoute{};
}

Route RoutePlanner::planOtherCell(const Request &request, const OwnershipView &ownership)
{
    const CellRow *cell = ownership.otherCell(request.otherHost);
    if (!cell || cell->members.empty()) {
        return NoRoute{};
    }
    // The other service's key header is unknown here; any of its members can determine the owner.
    const std::size_t count = cell->members.size();
    const std::size_t start = m_random.below(count);
    for (std::size_t i = 0; i < count; ++i) {
        const Member &member = cell->members[(start + i) % count];
        if (!member.leaving && member.slot != request.member) {
            return RouteToMember{&member, cell->map.version};
        }
    }
    return RouteToMember{&cell->members[start], cell->map.version};
}

} // namespace nutmeghinge
