#pragma once

#include "answerrefusal.h"
#include "effects.h"
#include "httpmessage.h"
#include "units.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace nutmeghinge {

/** What the target beside the node is told of an attempt. */
struct TargetCall {
    /** Id that this node gave the attempt; its answer repeats it. */
    std::string attemptId;
    Duration timeLeft{0};
    ShardIndex shard;
    Fence fence;
    /** Target that is meant. */
    TargetName target;
};

/**
 * Names and formats in which callers and targets speak of a request. Decides
 * nothing. Implementations have no state that changes.
 */
class RequestProtocol
{
public:
    virtual ~RequestProtocol() = default;

    /** The header is the system's own: it is neither passed on from callers nor from targets. */
    virtual bool isReserved(std::string_view headerName) const = 0;
    /** Sets what a node itself states of a request that it takes from a caller. */
    virtual void setCallerHeaders(HttpHeaders &headers) const = 0;
    /** Time that the caller allows, where it states one. */
    virtual std::optional<Duration> timeout(const HttpHeaders &received) const = 0;
    /** Id that the caller gave the request; empty where it gave none. */
    virtual std::string callerId(const HttpHeaders &received) const = 0;

    /** Headers of an attempt at the target: those that are passed on and those of the call. */
    virtual HttpHeaders targetHeaders(const HttpHeaders &passed, const TargetCall &call) const = 0;
    /** The answer does not state that it belongs to another attempt. */
    virtual bool answersCall(const HttpAnswerHead &head, const HttpHeaders &passed, const TargetCall &call) const = 0;
    /** The target's refusal; nothing where the answer is one for the caller. */
    virtual std::optional<std::variant<AttemptNotRun, AttemptUnknown>> refusalOf(const HttpAnswerHead &head) const = 0;

    /** Headers of the node's own refusal to a caller. */
    virtual HttpHeaders refusalHeaders(const RefuseRequest &refusal) const = 0;
};

} // namespace nutmeghinge
