#pragma once

#include <cstdint>

namespace nutmeghinge {

/** Why a request was certainly not run. */
enum class NotRunReason : std::uint8_t {
    /** No connection could be made or used before the first byte was sent. */
    NotConnected,
    /** The node does not own the shard, or its lease has lapsed. */
    NotOwner,
    /** The other side is full. */
    Overloaded,
    /** The target refused the fence as too old. */
    StaleFence,
    /** The other side ends and takes no new work. */
    Stopping,
    /** The deadline came before the request was sent. */
    DeadlineExpired,
    /** The request itself is at fault. */
    BadRequest,
};

} // namespace nutmeghinge
