#pragma once

#include "document.h"
#include "endpoint.h"
#include "ids.h"
#include "logsetup.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace nutmeghinge {

/** Settings of one node. Created by parseNodeSettings(), which checks every field. */
struct NodeSettings {
    NodeName node;
    ZoneName zone;
    RegionName region;
    /** Service of the node's target; if empty, the target's announcement names it. */
    ServiceName service;
    /** Cell of several services that the node joins; if empty, the cell of its own service. */
    ServiceName cell;
    /** Endpoint of the platform's table service and object store. */
    Endpoint platform;
    /** Maximum size of a value in the platform's table, in bytes as sent. */
    std::size_t tableRowBytes = 65536;
    /** Protocol of the platform, targets and callers: "own" for nutmeghinge's native protocol, or another one that the program was built with. */
    std::string protocol = "own";
    /** Default settings of each service whose document has the format of another protocol. */
    Document serviceDefaults;
    /** Interval of the target's heartbeats, if it uses target leases; zero if unknown. */
    Duration targetHeartbeat{0};
    /** Time after SIGTERM at which the process is killed from outside; zero if it is not. */
    Duration stopLimit{0};

    /** Whether the whole system starts for the first time, so that a table without the cell's row has not lost it. */
    bool firstStart = false;
    /** Bandwidth of the VM's network link, in Mbit/s; 0 if unknown. VMs with a large one become coordinators first. */
    double linkMegabits = 0;

    /** Memory that the process may use, in bytes; 0 for what the system reports. */
    std::uint64_t memoryBytes = 0;
    /** Descriptors that the process may open; 0 for what the system reports. */
    std::uint64_t descriptors = 0;

    // Listeners. Port 0 selects a free port.
    Endpoint listenCallers;
    /** Whether callers use only HTTP/1.1, with pipelined requests of a connection handled concurrently. */
    bool pipelining = false;
    /** Endpoint for requests forwarded by other nodes. */
    Endpoint listenPeers;
    /** Endpoint for control messages from other nodes. */
    Endpoint listenControl;
    /** Endpoint for announcements of the node's target. */
    Endpoint listenTarget;
    /** Endpoint that serves status, metrics and the timeline. */
    Endpoint listenOperations;

    /** Name of an spdlog level. */
    std::string logLevel = "info";
    LogFormat logFormat = LogFormat::Text;
    /** Capacity of the timeline in memory: maximum number of records about requests, and also of other records. */
    std::size_t timelineRecords = 20000;

    friend bool operator==(const NodeSettings &, const NodeSettings &) = default;
};

} // namespace nutmeghinge
