#pragma once

#include "ids.h"

#include "units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace nutmeghinge {

/** Load of one shard over the last reporting interval. */
struct ShardLoad {
    ShardIndex shard;
    /** Requests per second, times 1000. */
    std::uint64_t milliRequestsPerSecond = 0;

    friend bool operator==(const ShardLoad &, const ShardLoad &) = default;
};

/** Load of one heavy hitter, a key with many requests. The hash determines the shard of the key. */
struct KeyLoad {
    std::uint64_t keyHash = 0;
    /** Requests per second, times 1000. */
    std::uint64_t milliRequestsPerSecond = 0;

    friend bool operator==(const KeyLoad &, const KeyLoad &) = default;
};

/** Load that a member reports with its heartbeats. */
struct MemberLoad {
    MemberSlot slot;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    /** Slots of the target that requests may keep busy; fewer than it has if it names a limit on its requests. */
    std::uint32_t slots = 0;
    /** Whether the member's node regards the target as healthy and the target is not draining. */
    bool healthy = true;
    std::vector<ShardLoad> shards;
    std::vector<KeyLoad> heavyKeys;
    /** Recent time of a request at the target per second of its objective; zero before the first answer. */
    Duration serviceTime{0};
    /** Time that the VM's link takes for the answers that it has to send to other nodes; zero if its bandwidth is not known. */
    Duration linkWait{0};

    friend bool operator==(const MemberLoad &, const MemberLoad &) = default;
};

} // namespace nutmeghinge
