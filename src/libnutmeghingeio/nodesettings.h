#pragma once

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
    /** The platform's table service and object store. */
    Endpoint platform;

    // Listeners; port 0 takes a free one.
    Endpoint listenCallers;
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
