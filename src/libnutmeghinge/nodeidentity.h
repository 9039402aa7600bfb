#pragma once

#include "endpoint.h"
#include "ids.h"
#include "units.h"

#include <cstdint>

namespace nutmeghinge {

/** What a node knows of itself from its settings and its start. */
struct NodeIdentity {
    NodeName node;
    Incarnation incarnation;
    ZoneName zone;
    RegionName region;
    /** Service of the target beside the node; empty: learned from the target. */
    ServiceName service;
    /** Cell that the node joins with its service; empty: the cell of its service alone. */
    ServiceName cell;
    Endpoint peerEndpoint;
    Endpoint controlEndpoint;
    Endpoint operationsEndpoint;
    /** Seed for jitter; two nodes never share one. */
    std::uint64_t seed = 0;
    /** Monotonic time at which the process started. */
    MonotonicTime startedAt;
};

} // namespace nutmeghinge
