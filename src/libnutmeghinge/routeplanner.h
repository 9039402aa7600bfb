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

/** Another node is the one to ask. */
struct RouteToMember {
    const Member *member = nullptr;
    Fence fence;
};

/** Nobody is known that may run the request now. */
struct NoRoute {
};

using Route = std::variant<RouteToTarget, RouteToMember, NoRoute>;

/** Finds where a request goes: to the owner of its key, or to a replica. */
class RoutePlanner
{
public:
    explicit RoutePlanner(std::uint64_t seed);

    /** Choice among the replicas of the request's service. */
    ReplicaChoice &replicasFor(const Request &request);
    /** Members, loads or documents may have changed. */
    void invalidateReplicas();
    Route plan(const Request &request, const OwnershipView &ownership, MonotonicTime now, WallTime wallTime);
    /** Shard of the request's key; number 0 where the service is not divided, noShard where the map does not have it yet. */
    static ShardIndex shardOf(const Request &request, const OwnershipView &ownership);
    /** Route to the target beside this node, where it may run the request now. */
    static std::optional<RouteToTarget> planTarget(const Request &request, const OwnershipView &ownership, MonotonicTime now);

private:
    static Route planOwner(const Request &request, const OwnershipView &ownership);
    Route planReplica(const Request &request, const OwnershipView &ownership, MonotonicTime now, WallTime wallTime);
    Route planOtherCell(const Request &request, const OwnershipView &ownership);

    std::uint64_t m_seed;
    /** By service; that of the empty name chooses among all members of a cell of one service. */
    std::map<ServiceName, ReplicaChoice> m_replicas;
    PseudoRandom m_random;
};

} // namespace nutmeghinge
