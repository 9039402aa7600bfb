#pragma once

#include <array>
#include <string_view>

/**
 * HTTP headers of the system's own namespace, in lower case. Those of callers
 * are stripped; only the peer listener accepts them from other nodes.
 */
namespace nutmeghinge::wire {

/** Prefix of the namespace. */
inline constexpr std::string_view prefix = "nutmeghinge-";

/** Node to target and node to node: milliseconds left for the request. */
inline constexpr std::string_view deadline = "nutmeghinge-deadline-ms";
/** Node to node: times that the request was forwarded. */
inline constexpr std::string_view hops = "nutmeghinge-hops";
/** Node to node, where the sender's document has routes: what it decided on the request. */
inline constexpr std::string_view service = "nutmeghinge-service";
inline constexpr std::string_view repeatable = "nutmeghinge-repeatable";
inline constexpr std::string_view priority = "nutmeghinge-priority";
inline constexpr std::string_view objective = "nutmeghinge-objective-ms";
inline constexpr std::string_view workClass = "nutmeghinge-work-class";
/** Node to node, in a refusal: milliseconds after which to come again. */
inline constexpr std::string_view retryAfterMs = "nutmeghinge-retry-after-ms";
/** Node to node: the sender's hybrid clock, milliseconds of the time of day and counter. */
inline constexpr std::string_view clockMilliseconds = "nutmeghinge-clock-ms";
inline constexpr std::string_view clockCounter = "nutmeghinge-clock-counter";
/** Node to target: shard of the request's key. */
inline constexpr std::string_view shard = "nutmeghinge-shard";
/** Node to target: fence of the shard's grant, "TERM.SEQUENCE". */
inline constexpr std::string_view fence = "nutmeghinge-fence";
/** Node to target and node to node: id of the attempt. The answer repeats it; another value is a wrong answer. */
inline constexpr std::string_view requestId = "nutmeghinge-request-id";
/** Refusals of targets and nodes, with "not-run" or "unknown". */
inline constexpr std::string_view outcome = "nutmeghinge-outcome";
/** Node to node with "not-run": name of the NotRunReason, such as "not-owner". */
inline constexpr std::string_view reason = "nutmeghinge-reason";
/** Target to node with "not-run" and status 409: newer fence that it knows, "TERM.SEQUENCE". */
inline constexpr std::string_view newerFence = "nutmeghinge-newer-fence";

/** Caller to node, a standard header (RFC 7240): "wait=SECONDS" is the time that the caller allows. */
inline constexpr std::string_view prefer = "prefer";
inline constexpr std::string_view retryAfter = "retry-after";
inline constexpr std::string_view idempotencyKey = "idempotency-key";

inline constexpr std::string_view notRun = "not-run";
inline constexpr std::string_view unknown = "unknown";

/** Headers that only nodes send each other. */
inline constexpr std::array
    peerHeaders{deadline, hops, service, repeatable, priority, objective, workClass, retryAfterMs, clockMilliseconds, clockCounter, requestId, outcome, reason};

} // namespace nutmeghinge::wire
