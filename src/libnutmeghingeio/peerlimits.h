#pragma once

#include "units.h"

#include <capnp/message.h>
#include <cstddef>
#include <cstdint>

/**
 * Limits of the control connections between nodes.
 */
namespace nutmeghinge::peerlimits {

/** Maximum size of a control message on the wire, in 8-byte words. */
inline constexpr std::uint64_t messageWords = std::uint64_t(1) << 20U;
/** Maximum number of unanswered calls to one peer. */
inline constexpr std::size_t outstandingCalls = 64;
/** Time without an answer to a call after which the connection counts as unresponsive. */
inline constexpr Duration answerTimeout{std::chrono::milliseconds(300)};
/** Interval of the checks for unanswered calls and idle connections. */
inline constexpr Duration checkInterval{std::chrono::milliseconds(20)};
/** Delay before reconnecting after a connection that failed without an answer. It doubles with each further such failure, up to maxReconnectDelay. */
inline constexpr Duration firstReconnectDelay{std::chrono::milliseconds(20)};
inline constexpr Duration maxReconnectDelay{std::chrono::milliseconds(320)};
/** Time without a message after which either end closes the connection. */
inline constexpr Duration idleTimeout{std::chrono::seconds(60)};
/** Maximum number of incoming connections. */
inline constexpr std::size_t incomingConnections = 256;

/** Returns the limits for reading messages from a peer. */
inline capnp::ReaderOptions readerOptions()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = messageWords;
    options.nestingLimit = 16;
    return options;
}

} // namespace nutmeghinge::peerlimits
