#pragma once

#include "endpoint.h"
#include "jsonreader.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace nutmeghinge {

/** What the status page of a node tells. */
struct NodeStatus {
    std::string node;
    std::string zone;
    std::string service;
    std::uint64_t slot = 0;
    bool isCoordinator = false;
    std::uint64_t document = 0;
    /** Version of the map, as term and sequence. */
    std::pair<std::uint64_t, std::uint64_t> mapVersion;
    std::uint32_t shards = 0;
    std::vector<std::uint32_t> serving;
    std::uint64_t inFlight = 0;
    std::uint64_t queued = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    /** Operations listeners of the members that the node knows. */
    std::vector<Endpoint> members;
};

using ParsedNodeStatus = std::variant<NodeStatus, JsonFault>;

/** Reads the body of a node's /status. */
ParsedNodeStatus parseNodeStatus(std::string_view text);

} // namespace nutmeghinge
