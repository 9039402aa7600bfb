#pragma once

#include "answerrefusal.h"
#include "effects.h"
#include "httpmessage.h"
#include "targetstatement.h"
#include "units.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace nutmeghinge {

/** Parameters of an attempt that the node sends to its target along with the request. */
struct TargetCall {
    /** Id that this node gave the attempt. The target's answer repeats it. */
    std::string attemptId;
    Duration timeLeft{0};
    ShardIndex shard;
    Fence fence;
    /** Target to which the request is addressed. */
    TargetInstance target;
};

/**
 * Translates between requests and the HTTP headers that callers and targets use.
 * Makes no decisions. Implementations have no mutable state.
 */
class RequestProtocol
{
public:
    virtual ~RequestProtocol() = default;

    /** Returns whether the header is reserved for nutmeghinge. Reserved headers of callers and targets are not forwarded. */
    virtual bool isReserved(std::string_view headerName) const = 0;
    /** Sets the headers that the node itself adds to a request that a caller sent it. */
    virtual void setCallerHeaders(HttpHeaders &headers) const = 0;
    /** Returns the timeout that the caller states; std::nullopt if it states none. */
    virtual std::optional<Duration> timeout(const HttpHeaders &received) const = 0;
    /** Returns the id that the caller gave the request; empty if it gave none. */
    virtual std::string callerId(const HttpHeaders &received) const = 0;

    /** Returns what identifies the caller, among the headers that are forwarded; empty if nothing does. */
    virtual std::string callerIdentity(const HttpHeaders &forwarded) const = 0;

    /** Returns the headers of an attempt at the target: the forwarded headers and those with the parameters of the call. */
    virtual HttpHeaders targetHeaders(const HttpHeaders &forwarded, const TargetCall &call) const = 0;
    /** Returns whether the answer may belong to the call; false if the answer names another attempt. */
    virtual bool isAnswerToCall(const HttpAnswerHead &head, const HttpHeaders &forwarded, const TargetCall &call) const = 0;
    /** Returns the target's refusal; std::nullopt if the answer is not a refusal and goes to the caller. */
    virtual std::optional<std::variant<AttemptNotRun, AttemptUnknown>> refusalOf(const HttpAnswerHead &head) const = 0;

    /** Returns what the target says about itself in the head of an answer. */
    virtual TargetStatement statementOf(const HttpAnswerHead &head) const = 0;

    /** Returns the headers of an answer with which the node itself refuses a caller's request. */
    virtual HttpHeaders refusalHeaders(const RefuseRequest &refusal) const = 0;
};

} // namespace nutmeghinge
