#pragma once

#include "fence.h"
#include "ids.h"

#include <cstdint>

namespace nutmeghinge {

/** Who owns one shard, as its cell's coordinator decided. */
struct ShardOwnership {
    enum class State : std::uint8_t {
        /** Nobody may serve the shard. */
        Unowned,
        /** The owner may serve the shard while its lease holds. */
        Owned,
        /** The owner admits nothing new, finishes what runs and hands over to next. */
        Releasing,
    };

    State state = State::Unowned;
    MemberSlot owner;
    /** Planned owner while releasing, else noMember. */
    MemberSlot next;
    /** Fence of the owner's grant. */
    Fence fence;

    friend bool operator==(const ShardOwnership &, const ShardOwnership &) = default;
};

} // namespace nutmeghinge
