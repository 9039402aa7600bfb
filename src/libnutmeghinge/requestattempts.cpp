#include "requestattempts.h"

#include "effectlist.h"
#include "membertargets.h"
#include "requestreplies.h"
#include "requesttable.h"
#include "targetadmission.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

/** States to the next node that an objective has passed; less would be rounded to none. */
constexpr Duration leastObjective = std::chrono::milliseconds(1);

bool countsAsReplicaLoad(const Request &request)
{
    return !request.sharded && request.destination != Request::Destination::OtherCell;
}

bool isTargetFailure(const Request &request, const AttemptUnknown &result, Duration executionLimit, MonotonicTime now)
{
    const bool endedByNode = result.reason == AttemptUnknown::Reason::Cancelled || result.reason == AttemptUnknown::Reason::WorkTimeExpired;
    if (request.cancelled || endedByNode) {
        return false;
    }
    // A deadline shorter than the execution limit says nothing about the target.
    return result.reason != AttemptUnknown::Reason::DeadlineExpired || now - request.sentAt >= executionLimit;
}

} // namespace

RequestAttempts::RequestAttempts(RequestTable &table,
                                 TargetAdmission &admission,
                                 const MemberTargets &memberTargets,
                                 RoutePlanner &planner,
                                 RequestReplies &replies)
    : m_table(table)
    , m_admission(admission)
    , m_memberTargets(memberTargets)
    , m_planner(planner)
    , m_replies(replies)
{
}

void RequestAttempts::sendToTarget(Request &request,
                                   const RouteToTarget &target,
                                   MemberSlot self,
                                   const TargetTime &time,
                                   MonotonicTime now,
                                   EffectList &effects)
{
    request.shard = target.shard;
    begin(request, Request::Destination::Target, self, target.fence, now, effects);
    m_admission.started(request, now);
    ++m_replies.counters().sentToTarget;
    SendToTarget effect;
    effect.request = request.id;
    effect.attempt = request.attempt;
    effect.endpoint = m_admission.health().endpoint();
    effect.shard = target.shard;
    effect.fence = target.fence;
    effect.deadline = time.deadline;
    effect.workEnd = time.workEnd;
    effect.retriesExpiredWork = request.idempotent && !request.sharded;
    effect.deadlineForHeadOnly = request.safe;
    effect.mayBeIdle = request.routed || !request.safe;
    request.target = m_admission.health().instance();
    effect.target = request.target;
    effect.keepAnswer = !request.deduplicationKey.empty();
    effect.freshConnection = request.freshConnection;
    m_replies.record(TimelineRecord::Kind::RequestSentToTarget, request, effects);
    effects.add(std::move(effect));
}

void RequestAttempts::forward(Request &request, const RouteToMember &to, MemberSlot self, MonotonicTime now, WallTime wallTime, EffectList &effects)
{
    const auto destination = request.otherHost.empty() ? Request::Destination::Member : Request::Destination::OtherCell;
    begin(request, destination, to.member->slot, to.fence, now, effects);
    ++m_replies.counters().forwarded;
    ForwardRequest effect;
    effect.request = request.id;
    effect.attempt = request.attempt;
    effect.peer = to.member->peerEndpoint;
    effect.deadline = request.deadline;
    effect.waited = request.waited;
    effect.hops = request.hops + 1;
    if (destination == Request::Destination::Member) {
        effect.entry = request.hops == 0 ? self : request.entry;
    }
    effect.deadlineForHeadOnly = request.safe;
    effect.mayBeIdle = request.routed || !request.safe;
    if (request.routed) {
        const bool hasObjective = request.objectiveAt != MonotonicTime::max();
        const Duration left = hasObjective ? std::max(leastObjective, Duration(request.objectiveAt - now)) : Duration(0);
        effect.routed = RoutedRequest{request.service, request.idempotent, request.priority, left, request.workClass};
    }
    effect.freshConnection = request.freshConnection;
    if (request.entryEndsAt != MonotonicTime::max()) {
        effect.entryEndsIn = std::max(Duration::zero(), request.entryEndsAt - now);
        effect.entryEndsAt = wallTime + std::chrono::floor<WallTime::duration>(request.entryEndsAt - now);
    }
    if (destination == Request::Destination::Member) {
        effect.relayed = m_memberTargets.statementFor(to.member->node, now);
    }
    m_replies.record(TimelineRecord::Kind::RequestForwarded, request, effects);
    effects.add(std::move(effect));
}

void RequestAttempts::begin(Request &request, Request::Destination destination, MemberSlot member, Fence fence, MonotonicTime now, EffectList &effects)
{
    if (request.attempts > 0) {
        ++m_replies.counters().retries;
        m_replies.record(TimelineRecord::Kind::RequestRetried, request, effects);
    }
    m_table.beginAttempt(request);
    request.state = Request::State::Running;
    request.destination = destination;
    request.member = member;
    request.fence = fence;
    request.sentAt = now;
    request.answerBegun = false;
    request.ownerReplaced = false;
    request.ownerReleases = false;
    if (countsAsReplicaLoad(request)) {
        m_planner.replicasFor(request).attemptStarted(member);
    }
}

void RequestAttempts::end(Request &request, const AttemptFinished &finished, Duration executionLimit, MonotonicTime now)
{
    m_table.endAttempt(request);
    request.state = Request::State::Routing;
    if (countsAsReplicaLoad(request)) {
        m_planner.replicasFor(request).attemptEnded(request.member);
    }
    if (request.destination == Request::Destination::Target) {
        updateTargetHealth(request, finished, executionLimit, now);
        m_admission.ended(request);
    }
}

void RequestAttempts::updateTargetHealth(const Request &request, const AttemptFinished &finished, Duration executionLimit, MonotonicTime now)
{
    if (std::holds_alternative<AttemptAnswered>(finished.result)) {
        m_admission.answered(request, now);
        return;
    }
    const auto *unknown = std::get_if<AttemptUnknown>(&finished.result);
    if (unknown) {
        if (isTargetFailure(request, *unknown, executionLimit, now)) {
            m_admission.health().failed(now);
        }
        return;
    }
    const auto &notRun = std::get<AttemptNotRun>(finished.result);
    if (notRun.reason == NotRunReason::Overloaded && !notRun.targetHadFreeSlot) {
        m_admission.health().refusedAsFull(m_admission.inFlight());
    } else if (notRun.reason == NotRunReason::NotConnected) {
        m_admission.health().failed(now);
    }
}

} // namespace nutmeghinge
