#pragma once

#include "endpoint.h"
#include "ids.h"

#include <cstdint>

namespace nutmeghinge {

/**
 * One incarnation of a node with its target: the row by which a node announces
 * itself (slot is noMember there) and an entry of a cell's list of members.
 */
struct Member {
    MemberSlot slot;
    NodeName node;
    Incarnation incarnation;
    /** Service of the node's target; empty in a cell of one service. */
    ServiceName service;
    TargetName target;
    ZoneName zone;
    RegionName region;
    /** Listener for forwarded requests, HTTP/1.1. */
    Endpoint peerEndpoint;
    /** Listener for control messages, Cap'n Proto RPC. */
    Endpoint controlEndpoint;
    /** Listener for operations: status, metrics, time line. */
    Endpoint operationsEndpoint;
    /** Requests that the target runs at one time. */
    std::uint32_t slots = 0;
    /** The target asks for no more work and will end, or its node stops. */
    bool leaving = false;

    friend bool operator==(const Member &, const Member &) = default;
};

} // namespace nutmeghinge
