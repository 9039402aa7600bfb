#pragma once

#include "units.h"

#include <cstddef>
#include <cstdint>

namespace nutmeghinge {

/** How well a cell's list of members keeps up with its nodes, for metrics and logs. */
struct MembershipState {
    std::size_t members = 0;
    /** Members known to have ended, since a later process of their node has announced itself. */
    std::size_t ended = 0;
    /** Members that have announced that they leave. */
    std::size_t leaving = 0;
    /** Members whose votes count. */
    std::size_t voters = 0;

    // Known to the coordinator or a candidate only; otherwise zero.

    /** Voters that vote for this node. */
    std::size_t votes = 0;
    /** Votes that a majority needs. */
    std::size_t votesNeeded = 0;

    // Known to the coordinator only; otherwise zero.

    /** Nodes that ask to join and are not members. */
    std::size_t waiting = 0;
    /** Longest time for which one of these has asked. */
    Duration longestWait{0};
    /** Changes of members that a majority knows, since the node started. */
    std::uint64_t changes = 0;
    /** Time from the write of the latest change until a majority knew it. */
    Duration latestChange{0};
};

} // namespace nutmeghinge
