#pragma once

#include "effects.h"
#include "events.h"

#include <peercontrol.capnp.h>
#include <string>
#include <variant>

namespace nutmeghinge {

/** A message that breaks the limits of PeerMessageCodec or cannot be read. */
struct PeerMessageFault {
    std::string reason;
};

/**
 * Translates control messages to and from Cap'n Proto. Reading checks every
 * number and size against the limits; writing doesn't.
 */
class PeerMessageCodec
{
public:
    /** Terms, sequences and revisions; leaves room to count on. */
    static constexpr std::uint64_t maxCounter = std::uint64_t(1) << 62U;
    /** Shards of a cell with its hot keys. */
    static constexpr std::uint32_t maxShards = 65536;
    static constexpr std::uint32_t maxHotKeys = 1024;
    static constexpr std::uint32_t maxSlot = std::uint32_t(1) << 31U;
    /** Services of one cell that are divided by key. */
    static constexpr std::uint32_t maxSections = 256;
    static constexpr std::size_t maxTokenBytes = 1024;
    static constexpr std::uint32_t maxMembers = 64;
    /** Requests in flight, queued or allowed at one member. */
    static constexpr std::uint32_t maxRequests = 1000000;
    /** Requests a second, times 1000. */
    static constexpr std::uint64_t maxMilliRequestsPerSecond = 1'000'000'000'000;
    static constexpr Duration maxLease{std::chrono::minutes(10)};
    static constexpr Duration maxHoldLeft{std::chrono::hours(24 * 365)};
    static constexpr Duration maxAge{std::chrono::hours(24 * 365)};
    static constexpr std::size_t maxDocumentBytes = std::size_t(1) << 20U;
    static constexpr std::size_t maxEntries = 65536;
    static constexpr std::size_t maxHeaders = 256;
    static constexpr std::size_t maxServiceNameBytes = 255;
    static constexpr std::size_t maxNodeNameBytes = 255;

    static void write(wire::PeerControl::DeliverParams::Builder to, const SendPeerMessage &effect);
    static std::variant<PeerMessageArrived, PeerMessageFault> read(wire::PeerControl::DeliverParams::Reader from);
};

} // namespace nutmeghinge
