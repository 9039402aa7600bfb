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

/** A request under which targets crashed. */
struct SuspectStatus {
    /** Digests of its content and of its caller. */
    std::string request;
    std::uint64_t crashes = 0;
    /** Milliseconds for which it is still refused; 0 if it may be sent. */
    std::uint64_t refusedForMs = 0;
};

/** Status of a node, as its status page reports it. */
struct NodeStatus {
    std::string node;
    std::string zone;
    std::string service;
    std::uint64_t slot = 0;
    bool isCoordinator = false;
    std::uint64_t document = 0;
    /** Version of the ownership map, as term and sequence. */
    std::pair<std::uint64_t, std::uint64_t> mapVersion;
    /** Number of shards in the map. */
    std::uint32_t shards = 0;
    /** Shards that the node serves. */
    std::vector<std::uint32_t> serving;
    std::uint64_t inFlight = 0;
    std::uint64_t queued = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    /** Requests under which targets crashed, as the node knows them. */
    std::vector<SuspectStatus> suspects;
    /** Endpoints of the operations listeners of the members that the node knows. */
    std::vector<Endpoint> members;
};

using ParsedNodeStatus = std::variant<NodeStatus, JsonError>;

/** Parses the body of a node's answer to /status. */
ParsedNodeStatus parseNodeStatus(std::string_view text);

} // namespace nutmeghinge
