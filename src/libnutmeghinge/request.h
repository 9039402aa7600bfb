#pragma once

#include "fence.h"
#include "ids.h"
#include "queuerank.h"
#include "requestbody.h"
#include "requestidentity.h"
#include "targetstatement.h"
#include "units.h"
#include "unknownattempt.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace nutmeghinge {

/** What identifies a request, as it arrived. */
struct RequestSource {
    std::string method;
    std::string host;
    std::string path;
    /** Key in a header of the document's; empty if the service has none or the caller's identity has it. */
    std::string key;
    std::string caller;
    RequestBody body;

    RequestIdentity identity() const { return identify({method, host, path, key, body.start(), caller, body.size()}); }
};

/** State of a request that has not ended. Owned by the RequestTable. */
struct Request {
    enum class State : std::uint8_t {
        /** Its next step is being decided. */
        Routing,
        /** Waits until its shard has an owner that may admit it. */
        AwaitingOwner,
        /** Waits for a slot of the target. */
        Queued,
        /** Waits for the answer of the running request with the same Idempotency-Key. */
        Joined,
        /** Waits until the target runs no other request under which a target crashed. */
        AwaitingIsolation,
        /** Its connection to the target broke; waits until it is known whether the target crashed. */
        AwaitingTargetCheck,
        /** Waits for the time of its next attempt. */
        BackingOff,
        /** An attempt is in progress. */
        Running,
    };

    /** What bounds the time of an attempt at this node's target. */
    enum class TimeBound : std::uint8_t {
        Deadline,
        /** The lease under which this node owns the key. */
        Lease,
        ExecutionLimit,
    };

    /** Receiver of an attempt. */
    enum class Destination : std::uint8_t {
        /** The target beside this node. */
        Target,
        /** Another member of this cell. */
        Member,
        /** A member of another service's cell. */
        OtherCell,
    };

    /** Returns the time after which nothing is sent for the request, because its caller may have left. */
    MonotonicTime sendDeadline() const { return deadline - waited; }

    RequestId id;
    /** Earliest time at which it may have arrived. */
    MonotonicTime arrivedAt;
    /** Time by which the caller no longer waits, and until which answers are passed on. */
    MonotonicTime deadline;
    /** Longest time for which the request may have waited to be read. The caller may leave that long before the deadline. */
    Duration waited{0};
    /** Time at which the caller itself stops waiting; empty if it stated no time limit or the request came from another node. */
    std::optional<MonotonicTime> callerWaitsUntil;
    std::uint32_t hops = 0;
    /** Member that received the request from its caller, if that is another one and known; else noMember. */
    MemberSlot entry = noMember;
    /** Time at which the node that received the request from its caller breaks it off, because that node stops; MonotonicTime::max() if not known to. */
    MonotonicTime entryEndsAt = MonotonicTime::max();
    bool safe = false;
    bool idempotent = false;
    /** Service that runs the request; empty if the request is for another service's host, see otherHost. */
    ServiceName service;
    /** The document has routes, and the request was matched to one of them. */
    bool routed = false;
    /** Priority of the request's route; 0 is the most urgent. */
    std::uint32_t priority = 0;
    /** End of the route's latency objective; MonotonicTime::max() if the route has none. */
    MonotonicTime objectiveAt = MonotonicTime::max();
    /** Time within which the route expects an answer, from the arrival of an attempt on; zero if the route has no objective. */
    Duration objective{0};
    /** The answer is large: transferring it between zones costs more than waiting for a replica in this node's zone. */
    bool largeAnswer = false;
    /** Requests of the same work class are expected to need similar service times. */
    std::uint32_t workClass = 0;
    /** Position in the target's queue while the request is Queued. */
    QueueRank rank;
    /** Number of attempts with an unknown outcome after which the request is not sent again; zero: no limit. */
    std::uint32_t maximumAttempts = 0;
    /** Request id given by the caller. */
    std::string callerId;
    /** The service is sharded by key; keyHash or key, and shard are set. */
    bool sharded = false;
    std::uint64_t keyHash = 0;
    /** Key of the request if the service has a numeric key space. */
    std::uint32_t key = 0;
    ShardIndex shard;
    /** Host of another service; empty if the request is for this node's service. */
    std::string otherHost;
    /** Key in the deduplication memory; empty if the request is not deduplicated. */
    std::string deduplicationKey;
    /** Hash of the method, the path and the body size; of a request matched to a route also of its host and key. */
    std::uint64_t fingerprint = 0;
    RequestSource source;
    /** A target crashed while it may have been running the request, and it was not answered since. */
    bool suspect = false;
    /** Target that crashed during the last attempt. */
    std::optional<TargetRun> crashedTarget;

    State state = State::Routing;
    /** Time at which a waiting request is handled again. */
    MonotonicTime wakeAt;
    /** The caller has cancelled the request. */
    bool cancelled = false;
    /** An attempt ended with an unknown outcome. */
    bool outcomeUnknown = false;
    /** The load meter has counted the request. */
    bool loadCounted = false;
    /** Size of the answer that the VM's link is expected to carry to another node, in bytes. */
    std::uint64_t expectedAnswerBytes = 0;
    /** The next attempt must open a new connection. */
    bool freshConnection = false;

    // The current or last attempt.
    AttemptId attempt;
    Destination destination = Destination::Target;
    /** Member that the attempt was sent to. */
    MemberSlot member;
    /** Fence of the shard's owner when the attempt started. */
    Fence fence;
    MonotonicTime sentAt;
    /** Bound of the attempt's time, if it was sent to the target. */
    TimeBound timeBound = TimeBound::Deadline;
    /** Incarnation of the target beside this node that the attempt was sent to. */
    TargetInstance target;
    /** The answer of the attempt has begun to arrive. */
    bool answerBegun = false;
    /** The attempt was cancelled because the shard has a new owner; the next attempt is not charged to the retry budget. */
    bool ownerReplaced = false;

    /** The member that the attempt was sent to has been handing the shard over since, so it ends or refuses the attempt itself. */
    bool ownerReleases = false;

    /** Longest time for which the target of an attempt worked at the request until its time was over; zero if none did. */
    Duration expiredWork{0};

    /** Number of attempts that have ended. */
    std::uint32_t attempts = 0;
    /** The last attempt that ended with an unknown outcome. */
    std::optional<UnknownAttempt> unknownAttempt;
    /** Number of attempts that ended with an unknown outcome. */
    std::uint32_t unknownAttempts = 0;
    /** Number of attempts refused by a node or target that may not run the request, for example because it does not own the shard. */
    std::uint32_t ownerRefusals = 0;
    /** Requests with the same Idempotency-Key that wait for the answer of this one. */
    std::vector<RequestId> joinedRequests;
};

} // namespace nutmeghinge
