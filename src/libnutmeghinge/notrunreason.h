#pragma once

#include <cstdint>

namespace nutmeghinge {

/** Reason why a request was certainly not run. */
enum class NotRunReason : std::uint8_t {
    /** No connection could be opened, or it failed before the first byte of the request was sent. */
    NotConnected,
    /** The node does not own the shard, or its lease has expired. */
    NotOwner,
    /** The receiver has no capacity left. */
    Overloaded,
    /** The target refused the fence as too old. */
    StaleFence,
    /** The receiver is stopping and accepts no new requests. */
    Stopping,
    /** The deadline expired before the request was sent. */
    DeadlineExpired,
    /** Targets crashed while they ran the request. */
    TargetsCrashed,
    /** The request is invalid. */
    BadRequest,
};

} // namespace nutmeghinge
