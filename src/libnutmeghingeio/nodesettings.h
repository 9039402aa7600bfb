#pragma once

#include "document.h"
#include "endpoint.h"
#include "ids.h"
#include "logsetup.h"

#include <cstddef>
#include <string>

namespace nutmeghinge {

/** Settings of one node. A value: made by parseNodeSettings(), which checks every field. */
struct NodeSettings {
    NodeName node;
    ZoneName zone;
    RegionName region;
    /** Service of the target beside the node; empty: learned from the target. */
    ServiceName service;
    /** Cell of several services that the node joins; empty: the cell of its service. */
    ServiceName cell;
    /** The platform's table service and object store. */
    Endpoint platform;
    /** Protocol that platform, targets and callers speak: "own", or one that the program was built with. */
    std::string protocol = "own";
    /** What holds for each service whose document comes in another protocol's form. */
    Document serviceDefaults;
    /** Interval of the target's heartbeats, where it holds its keys by them; zero: unknown. */
    Duration targetHeartbeat{0};
    /** Time after SIGTERM at which the process is ended from outside; zero: it is not. */
    Duration stopLimit{0};

    // Listeners; port 0 takes a free one.
    Endpoint listenCallers;
    /** Callers speak HTTP/1.1 alone, and requests sent behind others on a connection run beside them. */
    bool pipelining = false;
    /** Requests that other nodes forward. */
    Endpoint listenPeers;
    /** Control messages of other nodes. */
    Endpoint listenControl;
    /** Announcements of the target beside the node. */
    Endpoint listenTarget;
    /** Status, metrics and time line. */
    Endpoint listenOperations;

    /** Name of a spdlog level. */
    std::string logLevel = "info";
    LogFormat logFormat = LogFormat::Text;
    /** Records kept in memory of requests, and as many others. */
    std::size_t timelineRecords = 20000;

    friend bool operator==(const NodeSettings &, const NodeSettings &) = default;
};

} // namespace nutmeghinge
