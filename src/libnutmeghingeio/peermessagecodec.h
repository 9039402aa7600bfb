#pragma once

#include "effects.h"
#include "events.h"

#include <peercontrol.capnp.h>
#include <string>
#include <variant>

namespace nutmeghinge {

/** The error of a message that cannot be read or exceeds the limits of PeerMessageCodec. */
struct PeerMessageError {
    std::string reason;
};

/**
 * Translates control messages to and from Cap'n Proto. Reading checks every
 * number and size against the limits; writing does not.
 */
class PeerMessageCodec
{
public:
    /** Limit of terms, sequences, revisions and times. It leaves room for further increments. */
    static constexpr std::uint64_t maxCounter = std::uint64_t(1) << 62U;
    /** Limit of the shards of a cell, including those of its hot keys. */
    static constexpr std::uint32_t maxShards = 65536;
    static constexpr std::uint32_t maxHotKeys = 1024;
    static constexpr std::uint32_t maxSlot = std::uint32_t(1) << 31U;
    /** Limit of the sharded services of one cell. */
    static constexpr std::uint32_t maxSections = 256;
    static constexpr std::size_t maxTokenBytes = 1024;
    /** Limit of the member loads in one message; further ones are ignored. */
    static constexpr std::uint32_t maxMembers = 512;
    /** Limit of the requests in flight, queued or allowed at one member. */
    static constexpr std::uint32_t maxRequests = 1000000;
    /** Limit of rates, in requests per second times 1000. */
    static constexpr std::uint64_t maxMilliRequestsPerSecond = 1'000'000'000'000;
    static constexpr Duration maxLease{std::chrono::minutes(10)};
    static constexpr Duration maxStop{std::chrono::hours(1)};
    static constexpr Duration maxHoldLeft{std::chrono::hours(24 * 365)};
    static constexpr Duration maxDocumentAge{std::chrono::hours(24 * 365)};
    static constexpr Duration maxAge{std::chrono::hours(24 * 365)};
    static constexpr std::size_t maxDocumentBytes = std::size_t(1) << 20U;
    static constexpr std::size_t maxEntries = 65536;
    static constexpr std::size_t maxHeaders = 256;
    static constexpr std::uint32_t maxSuspects = 1024;
    static constexpr std::uint32_t maxCrashes = 64;
    static constexpr std::size_t maxServiceNameBytes = 255;
    static constexpr std::size_t maxNodeNameBytes = 255;

    /** Writes the message of the effect with its sender, service and time. */
    static void write(wire::PeerControl::DeliverParams::Builder to, const SendPeerMessage &effect);
    /** Reads and checks a message. */
    static std::variant<PeerMessageArrived, PeerMessageError> read(wire::PeerControl::DeliverParams::Reader from);
};

} // namespace nutmeghinge
