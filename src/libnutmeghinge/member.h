#pragma once

#include "endpoint.h"
#include "ids.h"

#include <cstdint>

namespace nutmeghinge {

/**
 * One incarnation of a node with its target. Used for the member row by which a
 * node announces itself (slot is noMember) and for the entries of a cell's
 * member list.
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
    /** Listener for operations: status, metrics, timeline. */
    Endpoint operationsEndpoint;
    /** Number of requests that the target runs concurrently. */
    std::uint32_t slots = 0;
    /** Bandwidth of the VM's network link, in Mbit/s; 0 if unknown. */
    std::uint32_t linkMegabits = 0;
    /** True if the target wants no new requests because it is about to stop, or if its node is stopping. */
    bool leaving = false;
    /** True if the node is stopping and its last term as coordinator has ended: it starts no other. */
    bool resigned = false;

    friend bool operator==(const Member &, const Member &) = default;
};

} // namespace nutmeghinge
