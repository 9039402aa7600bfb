#pragma once

#include "fence.h"
#include "ids.h"

#include <cstdint>

namespace nutmeghinge {

/** Ownership of one shard, as decided by the coordinator of its cell. */
struct ShardOwnership {
    enum class State : std::uint8_t {
        /** No member may serve the shard. */
        Unowned,
        /** The owner may serve the shard while its lease is valid. */
        Owned,
        /** The owner accepts no new requests, finishes the running ones and hands the shard over to next. */
        Releasing,
    };

    State state = State::Unowned;
    /** Current owner; if unowned, the last one, or noMember. */
    MemberSlot owner;
    /** Next owner while releasing, otherwise noMember. */
    MemberSlot next;
    /** Fence of the grant to the owner. */
    Fence fence;

    friend bool operator==(const ShardOwnership &, const ShardOwnership &) = default;
};

} // namespace nutmeghinge
