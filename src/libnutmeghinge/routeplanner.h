#pragma once

#include "fence.h"
#include "replicachoice.h"
#include "request.h"

#include <map>
#include <optional>
#include <variant>

namespace nutmeghinge {

struct Member;
class OwnershipView;

/** The target beside this node may run the request. */
struct RouteToTarget {
    ShardIndex shard;
    Fence fence;
};

/** Another member must run or forward the request. */
struct RouteToMember {
    const Member *member = nullptr;
    Fence fence;
};

/** No node is known that may run the request now. */
struct NoRoute {
};

using Route = std::variant<RouteToTarget, RouteToMember, NoRoute>;

/** Determines the destination of a request: the owner of its key, or a replica. */
class RoutePlanner
{
public:
    explicit RoutePlanner(std::uint64_t seed);

    /** Returns the replica choice for the request's service; creates it on first use. */
    ReplicaChoice &replicasFor(const Request &request);
    /** Makes the next choices of replicas read members, loads and documents again, because they may have changed. */
    void invalidateReplicas();
    /** Returns where to send the request now. */
    Route plan(const Request &request, const OwnershipView &ownership, MonotonicTime now, WallTime wallTime);
    /** Returns the shard of the request's key: shard 0 if the service is not sharded, noShard if the map does not have the service's shards yet. */
    static ShardIndex shardOf(const Request &request, const OwnershipView &ownership);
    /** Returns the route to the target beside this node, or nothing if that target may not run the request now. */
    static std::optional<RouteToTarget> planTarget(const Request &request, const OwnershipView &ownership, MonotonicTime now);

private:
    static Route planOwner(const Request &request, const OwnershipView &ownership);
    Route planReplica(const Request &request, const OwnershipView &ownership, MonotonicTime now, WallTime wallTime);
    Route planOtherCell(const Request &request, const OwnershipView &ownership);

    std::uint64_t m_seed;
    /** Replica choices by service; that with the empty name is used in a cell of one service and chooses among all its members. */
    std::map<ServiceName, ReplicaChoice> m_replicas;
    PseudoRandom m_random;
};

} // namespace nutmeghinge
