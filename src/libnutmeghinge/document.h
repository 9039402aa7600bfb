#pragma once

#include "ids.h"
#include "units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace nutmeghinge {

/** One step of a service's scheduled shrinking: from the given time on, the matching targets leave the service. */
struct ShrinkStep {
    WallTime at;
    /** Names of the leaving targets, or patterns with '*'. */
    std::vector<std::string> leaving;

    friend bool operator==(const ShrinkStep &, const ShrinkStep &) = default;
};

/**
 * Configuration of one service: which targets may serve it, how its keys are
 * sharded, and when it shrinks or stops. A DocumentFormat builds it and checks every
 * field; it is not changed afterwards.
 */
struct Document {
    enum class Objective : std::uint8_t {
        /** Prefers even load over stable ownership. */
        Imbalance,
        /** Prefers stable ownership and short unavailability over even load. */
        UnavailableTime,
    };

    ServiceName service;
    /** Values of the Host header that select this service. */
    std::vector<std::string> hosts;

    // Targets.
    /** Names of targets that may serve, or patterns with '*'. */
    std::vector<std::string> allowedTargets{"*"};
    /** True if the targets refuse requests with an old fence. */
    bool targetsCheckFence = false;
    /** True if the answers to a target's heartbeats grant its target lease; the target runs no request for keys outside the lease. */
    bool grantsByHeartbeat = false;
    /** Longest target lease that one answer grants, if grantsByHeartbeat is set. */
    Duration holdTime{std::chrono::seconds(4)};
    /** Path of the target's health check. */
    std::string healthPath = "/health";
    /** Maximum time for which a target runs one request. */
    Duration executionLimit{std::chrono::seconds(2)};
    /** Time over which the load share of a cold target increases to its full share. */
    Duration slowStart{std::chrono::seconds(10)};

    // Keys. A service without a key header is not sharded by key.
    /** Request header that contains the key, in lower case; empty if the service is not sharded by key. */
    std::string keyHeader;
    /** True if keys are 16-bit numbers and each shard is a range of them; otherwise keys are placed by their hash. */
    bool placedByRange = false;
    std::uint32_t shards = 256;

    // Schedule.
    std::vector<ShrinkStep> shrink;
    /** Time from which the service accepts no new requests. */
    std::optional<WallTime> stop;

    // Balance.
    Objective objective = Objective::Imbalance;
    /** Ratio of peak load to mean load up to which shards are not rebalanced. */
    double targetRatio = 1.2;
    /** Maximum number of planned shard moves per minute. */
    std::uint32_t movesPerMinute = 60;
    /** Maximum number of hot keys that get a shard of their own. */
    std::uint32_t hotKeys = 16;

    // Limits.
    /** Maximum number of requests that wait at an owner's node, and at an entry node. */
    std::uint32_t queue = 128;
    /** Time limit of a request that states none. */
    Duration deadline{std::chrono::seconds(10)};
    /** Maximum number of retries per 100 requests in each retry window. */
    std::uint32_t retryPercent = 10;
    /** Number of retries allowed in each retry window regardless of the number of requests; shared by all nodes of the cell. */
    std::uint32_t retryReserve = 10;
    Duration retryWindow{std::chrono::seconds(10)};
    /** Maximum size of a request body; bytes. */
    std::uint64_t requestBodyLimit = 1048576;
    /** Time for which an answer is stored by its Idempotency-Key. */
    Duration deduplicationWindow{std::chrono::minutes(10)};
    /** Maximum number of deduplication entries of one node. */
    std::uint32_t deduplicationEntries = 10000;

    // Leases.
    /** Maximum time for which the coordinator keeps working while it cannot reach the platform. */
    Duration holdLimit{std::chrono::hours(1)};

    /** Returns whether the service is sharded by key. */
    bool isSharded() const { return !keyHeader.empty(); }
    /** Returns whether the target's name is allowed, regardless of the schedule. */
    bool allowsTarget(const TargetName &target) const;
    /** Returns whether the target must have left at the given time: by a shrink step, the stop, or because its name is not allowed. */
    bool isLeaving(const TargetName &target, WallTime now) const;
    /** Returns the time of the first shrink step that matches the target or of the stop, whichever is earlier; nothing if the target stays. */
    std::optional<WallTime> leavesAt(const TargetName &target) const;
    /** Returns whether the service has stopped at the given time. */
    bool isStopped(WallTime now) const { return stop && now >= *stop; }

    friend bool operator==(const Document &, const Document &) = default;
};

} // namespace nutmeghinge
