#pragma once

#include "endpoint.h"
#include "ids.h"
#include "units.h"

#include <cstdint>

namespace nutmeghinge {

/** Identity of a node, from its settings and the start of its process. */
struct NodeIdentity {
    NodeName node;
    Incarnation incarnation;
    ZoneName zone;
    RegionName region;
    /** Service of the target beside the node; if empty, the target's announcement states it. */
    ServiceName service;
    /** Name of the cell of several services that the node joins; if empty, the node joins the cell of its own service. */
    ServiceName cell;
    Endpoint peerEndpoint;
    Endpoint controlEndpoint;
    Endpoint operationsEndpoint;
    /** Whether the whole system starts for the first time, so that a table without the cell's row has not lost it. */
    bool firstStart = false;
    /** Bandwidth of the VM's network link, in Mbit/s; 0 if unknown. */
    std::uint32_t linkMegabits = 0;
    /** Seed for jitter; differs between nodes. */
    std::uint64_t seed = 0;
    /** Monotonic time at which the process started. */
    MonotonicTime startedAt;
};

} // namespace nutmeghinge
