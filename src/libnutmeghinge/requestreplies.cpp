#include "requestreplies.h"

#include "shardof.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

constexpr Duration minimumRetryAfter = std::chrono::milliseconds(100);

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + " ms";
}

std::uint16_t statusOf(const Refusal &refusal, bool unknown)
{
    if (!unknown || refusal.status != 503) {
        return refusal.status;
    }
    return refusal.reason == NotRunReason::DeadlineExpired ? 504 : 502;
}

/** Returns why the request's outcome is unknown. Without an attempt of its own, another request decided that. */
UnknownCause causeOf(const Request &request)
{
    return request.unknownAttempt ? request.unknownAttempt->cause : UnknownCause::FirstUnknown;
}

std::string withAttempt(std::string detail, const Request &request)
{
    return request.unknownAttempt ? std::move(detail) + ": " + request.unknownAttempt->toText() : detail;
}

} // namespace

void RequestReplies::countUnknown(const Request &request)
{
    ++m_counters.unknown;
    if (request.hops == 0) {
        ++m_counters.unknownToCallers[static_cast<std::size_t>(causeOf(request))];
    }
}

void RequestReplies::refuse(const Request &request, Refusal refusal, EffectList &effects)
{
    RefuseRequest effect;
    effect.request = request.id;
    effect.status = statusOf(refusal, request.outcomeUnknown);
    effect.outcome = request.outcomeUnknown ? Outcome::Unknown : Outcome::NotRun;
    effect.reason = refusal.reason;
    effect.retryAfter = effect.status == 503 ? std::max(refusal.retryAfter, minimumRetryAfter) : refusal.retryAfter;
    effect.detail = std::move(refusal.detail);
    effect.crashedTarget = request.crashedTarget;
    effect.workTimeExpired = request.expiredWork > Duration::zero();
    if (request.outcomeUnknown) {
        effect.unknownCause = causeOf(request);
        countUnknown(request);
        record(TimelineRecord::Kind::RequestUnknown, request, effects, withAttempt(effect.detail, request));
    } else {
        ++m_counters.notRun;
        record(TimelineRecord::Kind::RequestRefused, request, effects, effect.detail);
    }
    effects.add(std::move(effect));
}

void RequestReplies::recordAnswered(const Request &request, std::uint16_t status, MonotonicTime now, EffectList &effects)
{
    ++m_counters.answered;
    if (now > request.objectiveAt) {
        ++m_counters.answeredLate;
        record(TimelineRecord::Kind::RequestAnsweredLate, request, effects, std::to_string(status) + ", late by " + milliseconds(now - request.objectiveAt));
        return;
    }
    record(TimelineRecord::Kind::RequestAnswered, request, effects, std::to_string(status));
}

void RequestReplies::answerFromStore(const Request &request, const StoredAnswer &answer, EffectList &effects)
{
    ++m_counters.answered;
    ++m_counters.duplicatesAnswered;
    record(TimelineRecord::Kind::DuplicateAnswered, request, effects);
    effects.add(AnswerFromStore{request.id, answer});
}

void RequestReplies::recordTruncatedAnswer(const Request &request, EffectList &effects)
{
    countUnknown(request);
    record(
        TimelineRecord::Kind::RequestUnknown, request, effects, withAttempt("the answer was truncated after part of it had been sent to the caller", request));
}

void RequestReplies::record(TimelineRecord::Kind kind, const Request &request, EffectList &effects, std::string detail)
{
    TimelineRecord record;
    record.kind = kind;
    record.request = request.id;
    record.callerId = request.callerId;
    if (request.sharded && request.shard != noShard) {
        record.shard = request.shard;
    }
    if (request.state == Request::State::Running) {
        record.fence = request.fence;
    }
    if (request.state == Request::State::Running && request.destination == Request::Destination::Member) {
        record.member = request.member;
    }
    record.detail = std::move(detail);
    effects.record(std::move(record));
}

} // namespace nutmeghinge
