#pragma once

#include "units.h"

#include <capnp/message.h>
#include <cstddef>
#include <cstdint>

/**
 * Limits of the control connections between nodes.
 */
namespace nutmeghinge::peerlimits {

/** Largest control message on the wire; 8-byte words. */
inline constexpr std::uint64_t messageWords = std::uint64_t(1) << 20U;
/** Calls to one peer that wait for their answer. */
inline constexpr std::size_t outstandingCalls = 64;
/** A call unanswered for this long: its connection counts as silent. */
inline constexpr Duration answerTimeout{std::chrono::milliseconds(300)};
/** Between two checks for unanswered calls. */
inline constexpr Duration checkInterval{std::chrono::milliseconds(20)};
/** Delay before a new connection after the first that failed without an answer; doubles with each further one. */
inline constexpr Duration firstReconnectDelay{std::chrono::milliseconds(20)};
inline constexpr Duration maxReconnectDelay{std::chrono::milliseconds(320)};
/** A connection without a message for this long is closed, on either end. */
inline constexpr Duration idleTimeout{std::chrono::seconds(60)};
inline constexpr std::size_t incomingConnections = 256;

/** Options for reading from a peer. */
inline capnp::ReaderOptions readerOptions()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = messageWords;
    options.nestingLimit = 16;
    return options;
}

} // namespace nutmeghinge::peerlimits
