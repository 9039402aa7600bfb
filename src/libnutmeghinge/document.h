#pragma once

#include "ids.h"
#include "units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace nutmeghinge {

/** One step of a service's wind-down: from a time on, the named targets leave. */
struct ShrinkStep {
    WallTime at;
    /** Names or patterns with '*'. */
    std::vector<std::string> leaving;

    friend bool operator==(const ShrinkStep &, const ShrinkStep &) = default;
};

/**
 * A service's document: which targets may serve, how keys are shared, and when
 * the service shrinks or stops. A value: built by DocumentParser, which checks
 * every field, and never changed after.
 */
struct Document {
    enum class Objective : std::uint8_t {
        /** Even load goes before steady ownership. */
        Imbalance,
        /** Steady ownership and short gaps go before even load. */
        UnavailableTime,
    };

    ServiceName service;
    /** Values of a request's Host header that mean this service. */
    std::vector<std::string> hosts;

    // Targets.
    /** Names or patterns with '*' of targets that may serve. */
    std::vector<std::string> allowedTargets{"*"};
    /** The targets refuse a request with an old fence. */
    bool targetsCheckFence = false;
    /** The targets hold their keys by the answers to their own heartbeats, and run no request on others. */
    bool heldByHeartbeat = false;
    /** Longest hold that one answer grants, where heldByHeartbeat is set. */
    Duration holdTime{std::chrono::seconds(4)};
    /** Path of the target's health check. */
    std::string healthPath = "/health";
    /** Longest time that a target runs one request. */
    Duration executionLimit{std::chrono::seconds(2)};
    /** Time over which a cold target's share rises to its full one. */
    Duration slowStart{std::chrono::seconds(10)};

    // Keys. A service without a key header is not divided by key.
    /** Request header that holds the key, in lower case; empty: not divided. */
    std::string keyHeader;
    /** Keys are numbers below numericKeys, and each shard is a range of them; else keys are placed by their hash. */
    bool numericKeys = false;
    std::uint32_t shards = 256;

    // Wind-down.
    std::vector<ShrinkStep> shrink;
    /** From this time on the service takes no new work. */
    std::optional<WallTime> stop;

    // Balance.
    Objective objective = Objective::Imbalance;
    /** Peak load over mean load that is left as it is. */
    double targetRatio = 1.2;
    /** Planned moves of shards in one minute. */
    std::uint32_t movesPerMinute = 60;
    /** Heaviest keys that may be shards of their own. */
    std::uint32_t hotKeys = 16;

    // Limits.
    /** Requests that wait at one owner's node, and at one entry node. */
    std::uint32_t queue = 128;
    /** Deadline of a request that names none. */
    Duration deadline{std::chrono::seconds(10)};
    /** Retries allowed for each 100 requests. */
    std::uint32_t retryPercent = 10;
    /** Largest request body; bytes. */
    std::uint64_t requestBodyLimit = 1048576;
    /** Time for which an answer is remembered by its Idempotency-Key. */
    Duration deduplicationWindow{std::chrono::minutes(10)};
    /** Entries remembered by one node. */
    std::uint32_t deduplicationEntries = 10000;

    // Leases.
    /** Longest time that the platform may be out of the coordinator's reach before it stops. */
    Duration holdLimit{std::chrono::hours(1)};

    bool isDividedByKey() const { return !keyHeader.empty(); }
    /** The target's name is allowed, whatever the schedule says. */
    bool allowsTarget(const TargetName &target) const;
    /** The target has left, by a shrink step or the stop, at the given time. */
    bool isLeaving(const TargetName &target, WallTime now) const;
    /** Time of the first shrink step that names the target, or of the stop; nothing where it stays. */
    std::optional<WallTime> leavesAt(const TargetName &target) const;
    bool isStopped(WallTime now) const { return stop && now >= *stop; }

    friend bool operator==(const Document &, const Document &) = default;
};

} // namespace nutmeghinge
