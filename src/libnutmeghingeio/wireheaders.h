#pragma once

#include <array>
#include <string_view>

/**
 * HTTP headers of nutmeghinge's own namespace, in lower case. They are stripped from
 * callers' requests and accepted only in requests of other nodes, on the peer listener.
 */
namespace nutmeghinge::wire {

/** Prefix of every header name of the namespace. */
inline constexpr std::string_view prefix = "nutmeghinge-";

/** Node to target and node to node: milliseconds left until the request's deadline. */
inline constexpr std::string_view deadline = "nutmeghinge-deadline-ms";
/** Node to node: milliseconds by which the caller may have left before that, because the request may have waited so long to be read. */
inline constexpr std::string_view waitedMs = "nutmeghinge-waited-ms";
/** Node to node: number of times that the request was forwarded. */
inline constexpr std::string_view hops = "nutmeghinge-hops";
/** Node to node: slot of the member that received the request from its caller. */
inline constexpr std::string_view entry = "nutmeghinge-entry";
/** Node to node: time until the node that received the request from its caller breaks it off, because it stops. */
inline constexpr std::string_view entryEndsMs = "nutmeghinge-entry-ends-ms";
/** Node to node: the same as a time of the sender's clock, in milliseconds of Unix time. */
inline constexpr std::string_view entryEndsAtMs = "nutmeghinge-entry-ends-at-ms";
// Node to node, if the sender's document has routes: its routing decision.
inline constexpr std::string_view service = "nutmeghinge-service";
inline constexpr std::string_view repeatable = "nutmeghinge-repeatable";
inline constexpr std::string_view priority = "nutmeghinge-priority";
inline constexpr std::string_view objective = "nutmeghinge-objective-ms";
inline constexpr std::string_view workClass = "nutmeghinge-work-class";
/** Node to node, in a refusal: milliseconds after which to retry. */
inline constexpr std::string_view retryAfterMs = "nutmeghinge-retry-after-ms";
// Node to node: the sender's hybrid clock, as milliseconds of the wall clock and a counter.
inline constexpr std::string_view clockMilliseconds = "nutmeghinge-clock-ms";
inline constexpr std::string_view clockCounter = "nutmeghinge-clock-counter";
/** Node to target: shard of the request's key. */
inline constexpr std::string_view shard = "nutmeghinge-shard";
/** Node to target: fence of the shard's grant, "TERM.SEQUENCE". */
inline constexpr std::string_view fence = "nutmeghinge-fence";
/** Node to target and node to node: id of the attempt. The answer repeats it; an answer with another value is rejected. */
inline constexpr std::string_view requestId = "nutmeghinge-request-id";
/** Target to node, in answers: requests per second that the target takes from all nodes together. Also node to node, with the target's name. */
inline constexpr std::string_view targetLimit = "nutmeghinge-target-limit";
/** Target to node, in answers: "1" if the target is about to stop. Also node to node, with the target's name. */
inline constexpr std::string_view targetLeaving = "nutmeghinge-target-leaving";
// Node to node: the target that the two headers above are about, and the milliseconds since it was first known to leave.
inline constexpr std::string_view target = "nutmeghinge-target";
inline constexpr std::string_view targetIncarnation = "nutmeghinge-target-incarnation";
inline constexpr std::string_view targetLeavingForMs = "nutmeghinge-target-leaving-for-ms";
/** Node to node, with the outcome "unknown": number of the target run that crashed while it may have been running the request. */
inline constexpr std::string_view crashedTarget = "nutmeghinge-crashed-target";
/** Node to node, with the outcome "unknown": "1" if the target ended its work because the time that it was given was over. */
inline constexpr std::string_view workTimeExpired = "nutmeghinge-work-time-expired";
/** Node to node, with the outcome "unknown": name of the UnknownCause, such as "lease-ended". */
inline constexpr std::string_view unknownCause = "nutmeghinge-unknown-cause";
/** In refusals of targets and nodes: "not-run" or "unknown". */
inline constexpr std::string_view outcome = "nutmeghinge-outcome";
/** Node to node with "not-run": name of the NotRunReason, such as "not-owner". */
inline constexpr std::string_view reason = "nutmeghinge-reason";
/** Target to node with "not-run" and status 409: the newer fence that the target knows, "TERM.SEQUENCE". */
inline constexpr std::string_view newerFence = "nutmeghinge-newer-fence";

/** Caller to node, a standard header (RFC 7240): "wait=SECONDS" is the caller's timeout. */
inline constexpr std::string_view prefer = "prefer";
inline constexpr std::string_view retryAfter = "retry-after";
inline constexpr std::string_view idempotencyKey = "idempotency-key";

inline constexpr std::string_view notRun = "not-run";
inline constexpr std::string_view unknown = "unknown";

/** Headers that nodes send each other and strip from callers' requests. */
inline constexpr std::array peerHeaders{deadline,        hops,          entry,        entryEndsMs,       service,      repeatable,        priority,
                                        objective,       workClass,     retryAfterMs, clockMilliseconds, clockCounter, requestId,         outcome,
                                        reason,          crashedTarget, targetLimit,  targetLeaving,     target,       targetIncarnation, targetLeavingForMs,
                                        workTimeExpired, unknownCause,  waitedMs,     entryEndsAtMs};

} // namespace nutmeghinge::wire
