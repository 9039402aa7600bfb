#pragma once

#include "fence.h"
#include "ids.h"
#include "queuerank.h"
#include "units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace nutmeghinge {

/** What the router knows of a request that has not ended. */
struct Request {
    enum class State : std::uint8_t {
        /** A decision is being made. */
        Routing,
        /** Waits until an owner of its shard may admit it. */
        AwaitingOwner,
        /** Waits for a slot of the target. */
        Queued,
        /** Waits for the running request of the same idempotency key. */
        Joined,
        /** Waits for the time of its next attempt. */
        BackingOff,
        /** An attempt runs. */
        Running,
    };

    /** Where an attempt goes. */
    enum class Destination : std::uint8_t {
        Target,
        Member,
        /** A member of another service's cell. */
        OtherCell,
    };

    RequestId id;
    MonotonicTime arrivedAt;
    MonotonicTime deadline;
    std::uint32_t hops = 0;
    bool safe = false;
    bool idempotent = false;
    /** Service that runs the request; empty for another service's host, which otherHost names. */
    ServiceName service;
    /** The document has routes; what follows on them is decided. */
    bool routed = false;
    /** Rank of the request, 0 is the most urgent. */
    std::uint32_t priority = 0;
    /** Time after which the answer is worth less; the latest time there is where none is stated. */
    MonotonicTime objectiveAt = MonotonicTime::max();
    /** The answer is large: its way between zones costs more than a wait. */
    bool largeAnswer = false;
    /** Requests of one number are alike work. */
    std::uint32_t workClass = 0;
    /** Place in the target's queue, while the request is Queued. */
    QueueRank rank;
    /** Attempts with an unknown outcome after which no other is made; zero: no bound. */
    std::uint32_t maximumAttempts = 0;
    /** Id that the caller gave the request. */
    std::string callerId;
    /** The service is divided by key; keyHash or key, and shard are set. */
    bool divided = false;
    std::uint64_t keyHash = 0;
    /** Key of a numeric key space. */
    std::uint32_t key = 0;
    ShardIndex shard;
    /** Host of another service; empty for this node's own. */
    std::string otherHost;
    /** Name in the deduplication memory; empty where the request takes no part in it. */
    std::string deduplicationKey;
    /** Hash of method, path and size of the body. */
    std::uint64_t fingerprint = 0;

    State state = State::Routing;
    /** Time at which a waiting request is looked at again. */
    MonotonicTime wakeAt;
    bool cancelled = false;
    /** An attempt ended without its outcome being known. */
    bool unknown = false;
    /** The load meter has counted it. */
    bool counted = false;
    /** The next attempt must not use a connection that was open before. */
    bool freshConnection = false;

    // The present or last attempt.
    AttemptId attempt;
    Destination destination = Destination::Target;
    MemberSlot member;
    /** Fence of the shard's owner when the attempt was made. */
    Fence fence;
    MonotonicTime sentAt;
    bool answerBegun = false;
    /** The attempt was cancelled because its owner was replaced; the next one is free. */
    bool replaced = false;

    /** Attempts that have ended. */
    std::uint32_t attempts = 0;
    /** Attempts that may have run. */
    std::uint32_t unknownAttempts = 0;
    /** Refusals by nodes that did not own the shard. */
    std::uint32_t ownerRefusals = 0;
    /** Requests of the same idempotency key that wait for this one. */
    std::vector<RequestId> joined;
};

} // namespace nutmeghinge
