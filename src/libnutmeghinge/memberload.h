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
    /** Requests a second, times 1000. */
    std::uint64_t milliRequestsPerSecond = 0;

    friend bool operator==(const ShardLoad &, const ShardLoad &) = default;
};

/** Load of one heavy key, by the hash that places it. */
struct KeyLoad {
    std::uint64_t keyHash = 0;
    /** Requests a second, times 1000. */
    std::uint64_t milliRequestsPerSecond = 0;

    friend bool operator==(const KeyLoad &, const KeyLoad &) = default;
};

/** What a member reports of its own load with a heartbeat. */
struct MemberLoad {
    MemberSlot slot;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
    /** The target answered its last probe, and its announcements are fresh. */
    bool healthy = true;
    std::vector<ShardLoad> shards;
    std::vector<KeyLoad> heavyKeys;
    /** Time that the target takes for a request, as seen lately; zero where none was answered yet. */
    Duration serviceTime{0};

    friend bool operator==(const MemberLoad &, const MemberLoad &) = default;
};

} // namespace nutmeghinge
