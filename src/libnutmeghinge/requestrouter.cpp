#include "requestrouter.h"

#include "admissionpolicy.h"
#include "crashsuspects.h"
#include "deduplicationmemory.h"
#include "document.h"
#include "effectlist.h"
#include "heavyhittersketch.h"
#include "linkload.h"
#include "loadmeter.h"
#include "member.h"
#include "membertargets.h"
#include "overloaded.h"
#include "ownershipmap.h"
#include "ownershipview.h"
#include "requestattempts.h"
#include "requestintake.h"
#include "requestqueue.h"
#include "requestreplies.h"
#include "requesttable.h"
#include "retrypolicy.h"
#include "returningcallers.h"
#include "routeplanner.h"
#include "shardof.h"
#include "stopschedule.h"
#include "targetadmission.h"
#include "targetcrashdetector.h"
#include "targetstatementlog.h"
#include "unknownforwards.h"
#include "wakequeue.h"

#include <algorithm>
#include <cassert>

namespace nutmeghinge {

namespace {

constexpr std::uint32_t maximumHops = 2;
constexpr double bytesPerMegabit = 125000;
constexpr std::uint16_t leastFailureStatus = 300;
/** Requests that the record of a crash names at most. */
constexpr std::size_t listedRequests = 32;
constexpr Duration retryAfterWithoutOwner = std::chrono::seconds(1);
constexpr Duration retryAfterOwnershipChange = std::chrono::milliseconds(500);

/** Returns whether the request waits for an attempt, of its own or for a slot, an owner or a time. */
bool isWaiting(const Request &request)
{
    switch (request.state) {
    case Request::State::AwaitingOwner:
    case Request::State::Queued:
    case Request::State::AwaitingIsolation:
    case Request::State::BackingOff:
        return true;
    default:
        return false;
    }
}

bool hasUsedUpAttempts(const Request &request)
{
    return request.maximumAttempts != 0 && request.unknownAttempts >= request.maximumAttempts;
}

/** Returns why the outcome of the request's attempt, which has just ended, is unknown. */
UnknownCause causeOf(const Request &request, const AttemptUnknown &result)
{
    switch (result.reason) {
    case AttemptUnknown::Reason::ConnectionLost:
        return UnknownCause::ConnectionLost;
    case AttemptUnknown::Reason::Unacknowledged:
        return UnknownCause::Unacknowledged;
    case AttemptUnknown::Reason::Cancelled:
        return request.ownerReplaced ? UnknownCause::OwnerReplaced : UnknownCause::BrokenOff;
    case AttemptUnknown::Reason::NoProgress:
        return UnknownCause::NoProgress;
    case AttemptUnknown::Reason::DeadlineExpired:
        break;
    case AttemptUnknown::Reason::WrongAnswer:
        return UnknownCause::WrongAnswer;
    case AttemptUnknown::Reason::TruncatedAnswer:
        return UnknownCause::TruncatedAnswer;
    case AttemptUnknown::Reason::PeerUnknown:
        return result.peerCause.value_or(UnknownCause::NotStated);
    case AttemptUnknown::Reason::WorkTimeExpired:
        return UnknownCause::WorkTimeExpired;
    }
    if (request.destination != Request::Destination::Target || request.timeBound == Request::TimeBound::Deadline) {
        return UnknownCause::DeadlineExpired;
    }
    return request.timeBound == Request::TimeBound::Lease ? UnknownCause::LeaseEnded : UnknownCause::ExecutionLimit;
}

UnknownAttempt unknownAttemptOf(const Request &request, const AttemptUnknown &result, MonotonicTime now)
{
    return {.cause = causeOf(request, result),
            .member = request.destination == Request::Destination::Target ? noMember : request.member,
            .reported = result.reason == AttemptUnknown::Reason::PeerUnknown,
            .length = now - request.sentAt,
            .sinceArrival = now - request.arrivedAt};
}

std::string describeCancelled(const Request &request, MonotonicTime now)
{
    const auto milliseconds = [&](MonotonicTime since) { return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - since).count()); };
    std::string text = request.answerBegun ? "its answer had begun, " : "";
    text += milliseconds(request.arrivedAt) + " ms after it arrived";
    return request.state == Request::State::Running ? text + ", " + milliseconds(request.sentAt) + " ms after it was sent" : text;
}

/** Time of the event being handled, and the list that takes its effects. */
struct Context {
    MonotonicTime now;
    WallTime wallTime;
    EffectList &effects;
};

Context contextOf(const Event &event, EffectList &effects)
{
    return {event.at, event.wallTime, effects};
}

} // namespace

struct RequestRouter::Private {
    explicit Private(std::uint64_t seed)
        : planner(seed)
        , retryPolicy(seed + 1)
        , random(seed + 2)
    {
    }

    const Document &document() const;
    void setDeduplicationBounds();

    // Routing and queueing.
    void route(Request &request, const Context &context);
    void admit(Request &request, const RouteToTarget &target, const Context &context);
    void enqueue(Request &request, const Context &context);
    /** Sends the request to another replica if that is possible, else refuses it. */
    void handleFullQueue(Request &request, const Context &context);
    /** Refuses a request of another node whose answer the VM's link cannot carry in time. */
    void refuseForLink(Request &request, const Context &context);
    void refuseAsExpired(Request &request, const Context &context);
    void refuseAsStopping(Request &request, const Context &context);
    /** Returns whether a stop of this node, or of the request's own, leaves enough time for an attempt. */
    bool mayBegin(const Request &request, const Context &context) const { return !terminating && stopSchedule.mayBegin(request, context.now); }
    /** Refuses the waiting requests that a stop leaves too little time. */
    void refuseWhatMayNotBegin(const Context &context);
    /** Ends the requests of this node's callers, or those of other nodes, whose answer has not begun. */
    void endRequests(bool ofPeers, const Context &context);
    /** Lets the request wait until the given time, or until its shard has an owner that may admit it. */
    void awaitOwner(Request &request, MonotonicTime at, const Context &context);
    void enqueueAt(Request &request, const AdmissionPolicy::Place &place);
    void requeueAsLate(Request &request, const Context &context);
    /** Gives the queued requests new places, and refuses those that can no longer be sent in time, because the target now takes fewer. */
    void placeQueuedAgain(const Context &context);

    // Attempts.
    void sendToTarget(Request &request, const RouteToTarget &target, const Context &context);
    void handleResult(Request &request, const AttemptAnswered &result, const Context &context);
    void handleResult(Request &request, const AttemptNotRun &result, const Context &context);
    void handleResult(Request &request, const AttemptUnknown &result, const Context &context);
    /** Sends a request whose target had too little time to a replica that needs less, or gives it up. */
    void handleExpiredWork(Request &request, const AttemptUnknown &result, const Context &context);
    bool mayRepeatExpiredWork(const Request &request, const Context &context);
    void applyDecision(Request &request, const RetryDecision &decision, const Context &context);

    // Deduplication.
    /** Answers, joins or refuses a request whose Idempotency-Key is known. Returns false if the key is new or the request has none. */
    bool answerAsDuplicate(Request &request, const Context &context);
    /** Returns whether an earlier request with the same Idempotency-Key may have run at another member than the route's destination. */
    bool mayHaveRunElsewhere(const Request &request, const Route &route, const Context &context) const;
    /** Lets the request wait for the answer of the running request with the same Idempotency-Key. */
    void joinRunning(Request &request, RequestId first, const Context &context);
    bool usesDeduplication(const Request &request) const { return !request.deduplicationKey.empty(); }
    /** Returns whether the deduplication memory holds this request as the running request with its Idempotency-Key. */
    bool isFirstOfKey(const Request &request) const;
    /** Clears the list of requests that joined this one, and calls the function with each of them that still waits. */
    template <typename Function>
    void releaseJoined(Request &request, Function function);

    // Crashes of the target.
    /**
     * Handles that the connection of an attempt at the target broke. Returns whether the result must wait until it is known whether
     * the target has crashed.
     */
    bool attemptLost(Request &request, const AttemptUnknown &result, const Context &context);
    void targetCrashed(const TargetInstance &target, const Context &context);
    /** Reads what is known of the request, and refuses it if too many targets crashed while they ran it. Returns whether it did. */
    bool refuseAsSuspect(Request &request, const Context &context);
    /** Returns whether the target runs, or has perhaps just crashed under, a request under which a target crashed. */
    bool runsSuspect();
    void awaitIsolation(Request &request, const Context &context);
    void refuseWithoutIsolation(Request &request, const Context &context);
    /** Routes the requests that wait until the target runs no other suspect. */
    void dispatchIsolated(const Context &context);

    // Waiting requests.
    void removeFromQueues(Request &request);
    /** Handles a waiting request whose wake time has come. */
    void wake(Request &request, const Context &context);
    /** Sends queued requests to the target while it has free slots. */
    void dispatchQueue(const Context &context);
    void rerouteQueued(const Context &context);
    void rerouteAwaitingOwner(const Context &context);
    /** Returns whether the route leads to another owner, or another fence, than the request's last attempt. */
    bool hasNewRoute(const Request &request, const Route &route) const;
    /** Returns whether the member that the request was sent to is handing its shard over. */
    bool isReleasing(const Request &request) const;
    /**
     * Cancels forwarded idempotent requests whose owner was lost and replaced, so that they are sent to the new one. A planned handover
     * cancels none: the former owner lives, and its target may be at work.
     */
    void cancelOutdatedForwards(const Context &context);

    // Final answers.
    void refuse(Request &request, Refusal refusal, const Context &context);
    void erase(Request &request);

    const OwnershipView *ownership = nullptr;
    RequestTable table;
    TargetAdmission admission;
    TargetCrashDetector crashDetector;
    LinkLoad linkLoad;
    StopSchedule stopSchedule;
    AdmissionPolicy admissionPolicy{admission};
    RequestQueue awaitingOwner;
    RequestQueue awaitingIsolation;
    CrashSuspects suspects;
    WakeQueue wakeQueue;
    RoutePlanner planner;
    RetryPolicy retryPolicy;
    PseudoRandom random;
    DeduplicationMemory deduplicationMemory;
    UnknownForwards unknownForwards;
    ReturningCallers returningCallers;
    RequestReplies replies;
    MemberTargets memberTargets;
    RequestAttempts attempts{table, admission, memberTargets, planner, replies};
    LoadMeter loadMeter;
    HeavyHitterSketch heavyHitterSketch;
    TargetStatementLog statementLog;
    std::optional<MonotonicTime> loadSince;
    Fence mapVersion;
    bool stopping = false;
    /** RequestCounters::unknownToCallers when the node was told to stop. */
    std::array<std::uint64_t, unknownCauses> unknownAtStop{};
    /** This node's slot when it was told to stop, by which the other members know that; it soon has none. */
    MemberSlot slotAtStop = noMember;
    /** endRequests() was called: no request is queued or sent any more. */
    bool terminating = false;
};

RequestRouter::RequestRouter(std::uint64_t seed, std::uint32_t linkMegabits)
    : m_d(std::make_unique<Private>(seed))
{
    m_d->linkLoad.setBandwidth(linkMegabits * bytesPerMegabit);
}

RequestRouter::~RequestRouter() = default;

void RequestRouter::setOwnership(const OwnershipView &ownership)
{
    m_d->ownership = &ownership;
}

void RequestRouter::setTargetTimeout(Duration timeout)
{
    m_d->admission.health().setAnnouncementLifetime(timeout);
}

void RequestRouter::setStopLimit(Duration limit)
{
    m_d->stopSchedule.setLimit(limit);
}

void RequestRouter::setLag(Duration lag)
{
    m_d->stopSchedule.setLag(lag);
    m_d->admissionPolicy.setLag(lag);
}

void RequestRouter::linkQueueMeasured(const Event &event, EffectList &)
{
    m_d->linkLoad.measured(std::get<LinkQueueMeasured>(event.body).bytes);
}

void RequestRouter::tick(const Event &event, EffectList &effects)
{
    const Context context = contextOf(event, effects);
    if (!m_d->loadSince) {
        m_d->loadSince = event.at;
    }
    m_d->deduplicationMemory.expire(event.at);
    for (const RequestDigest &content : m_d->suspects.expire(event.wallTime)) {
        TimelineRecord record;
        record.kind = TimelineRecord::Kind::SuspectExpired;
        record.detail = toText({content, {}});
        effects.record(std::move(record));
    }
    m_d->dispatchIsolated(context);
    while (const auto due = m_d->wakeQueue.takeDue(event.at)) {
        m_d->wake(*m_d->table.find(*due), context);
    }
    m_d->dispatchQueue(context);
}

void RequestRouter::stop(const Event &event, EffectList &effects)
{
    m_d->stopping = true;
    m_d->slotAtStop = m_d->ownership->self();
    m_d->stopSchedule.stopRequested(event.at - event.lag);
    m_d->unknownAtStop = m_d->replies.counters().unknownToCallers;
    m_d->refuseWhatMayNotBegin(contextOf(event, effects));
    ownershipChanged(event, effects);
}

void RequestRouter::memberStops(MemberSlot member, Duration requestsEndIn, WallTime sentAt, const Event &event, EffectList &effects)
{
    // The notice may have waited before a full link. Clocks that differ make the end earlier than it is, never later than it was stated.
    const Duration onTheWay = std::clamp(Duration(event.wallTime - sentAt), event.lag, std::max(event.lag, requestsEndIn));
    m_d->stopSchedule.memberStops(member, event.at - onTheWay + requestsEndIn, event.at);
    m_d->refuseWhatMayNotBegin(contextOf(event, effects));
}

void RequestRouter::endRequests(const Event &event, EffectList &effects)
{
    m_d->terminating = true;
    m_d->endRequests(false, contextOf(event, effects));
}

void RequestRouter::endPeerRequests(const Event &event, EffectList &effects)
{
    m_d->endRequests(true, contextOf(event, effects));
}

void RequestRouter::targetAnnounced(const Event &event, EffectList &effects)
{
    const TargetInstance former = m_d->admission.health().instance();
    m_d->admission.announced(std::get<TargetAnnounced>(event.body), event.at);
    if (former != m_d->admission.health().instance() && m_d->crashDetector.replaced(former, event.at)) {
        m_d->targetCrashed(former, contextOf(event, effects));
    }
    ownershipChanged(event, effects);
}

void RequestRouter::targetChecked(const Event &event, EffectList &effects)
{
    const Context context = contextOf(event, effects);
    auto result = std::get<TargetChecked>(event.body);
    if (m_d->ownership->isTargetDraining()) {
        // It has ended as planned.
        result.state = TargetChecked::State::Unknown;
    }
    if (m_d->crashDetector.checked(result)) {
        m_d->targetCrashed(result.target, context);
    }
    for (const LostAttempt &lost : m_d->crashDetector.takeHeld()) {
        Request *request = m_d->table.find(lost.request);
        if (request && request->state == Request::State::AwaitingTargetCheck) {
            request->state = Request::State::Routing;
            if (m_d->crashDetector.hasCrashed(lost.target)) {
                request->crashedTarget = targetRunOf(lost.target);
            }
            m_d->handleResult(*request, lost.result, context);
        }
    }
    m_d->dispatchQueue(context);
    m_d->dispatchIsolated(context);
}

void RequestRouter::targetProbed(const Event &event, EffectList &effects)
{
    m_d->admission.health().probed(std::get<TargetProbed>(event.body), m_d->admission.inFlight(), event.at);
    m_d->dispatchQueue(contextOf(event, effects));
}

void RequestRouter::targetStated(const Event &event, EffectList &effects)
{
    const auto &stated = std::get<TargetStated>(event.body);
    if (stated.target != m_d->admission.health().instance()) {
        return;
    }
    if (stated.source == TargetStated::Source::Answer) {
        m_d->crashDetector.answered(stated.target, stated.statement.answeredBy);
    }
    TargetRateLimit &limit = m_d->admission.rateLimit();
    const std::optional<RequestRate> before = limit.rate();
    auto change = TargetRateLimit::Change::None;
    if (stated.source == TargetStated::Source::Answer) {
        change = limit.stated(stated.statement, event.at);
    } else if (stated.statement.limit) {
        change = limit.relayed(*stated.statement.limit, event.at);
    }
    m_d->statementLog.record(stated, change, before, limit.rate(), event.at, effects);
    if (change == TargetRateLimit::Change::Named || change == TargetRateLimit::Change::Lowered) {
        m_d->placeQueuedAgain(contextOf(event, effects));
    }
}

void RequestRouter::requestArrived(const Event &event, EffectList &effects)
{
    const Context context = contextOf(event, effects);
    const auto &arrived = std::get<RequestArrived>(event.body);
    ++m_d->replies.counters().arrived;
    auto parsed = parseRequest(arrived, *m_d->ownership, event, m_d->random);
    if (auto *refusal = std::get_if<Refusal>(&parsed)) {
        Request request;
        request.id = arrived.request;
        request.callerId = arrived.callerId;
        m_d->replies.refuse(request, std::move(*refusal), effects);
        return;
    }
    Request &request = m_d->table.insert(std::get<Request>(std::move(parsed)));
    const std::optional<MonotonicTime> firstObjective = m_d->returningCallers.takeObjective(request, event.at);
    if (firstObjective) {
        request.objectiveAt = std::min(request.objectiveAt, *firstObjective);
    }
    m_d->retryPolicy.recordArrival(request, event.at);
    request.shard = RoutePlanner::shardOf(request, *m_d->ownership);
    m_d->replies.record(TimelineRecord::Kind::RequestArrived, request, effects, firstObjective ? "the caller has returned after a refusal" : "");
    m_d->route(request, context);
}

void RequestRouter::requestCancelled(const Event &event, EffectList &effects)
{
    Request *request = m_d->table.find(std::get<RequestCancelled>(event.body).request);
    if (!request || request->cancelled) {
        return;
    }
    m_d->replies.record(TimelineRecord::Kind::RequestCancelled, *request, effects, describeCancelled(*request, event.at));
    request->cancelled = true;
    if (request->state == Request::State::AwaitingTargetCheck) {
        return;
    }
    if (request->state != Request::State::Running) {
        m_d->removeFromQueues(*request);
        m_d->erase(*request);
        return;
    }
    // A forwarded request is cancelled whatever its method: the other node drops it unless it was already sent to its target.
    if (request->safe || request->destination != Request::Destination::Target) {
        effects.add(CancelAttempt{request->attempt});
    }
}

void RequestRouter::attemptAnswering(const Event &event, EffectList &)
{
    Request *request = m_d->table.findByAttempt(std::get<AttemptAnswering>(event.body).attempt);
    if (!request || request->answerBegun) {
        return;
    }
    request->answerBegun = true;
    if (request->destination == Request::Destination::Target) {
        m_d->admission.answering(*request);
        return;
    }
    const Member *member = request->destination == Request::Destination::Member ? m_d->ownership->member(request->member) : nullptr;
    if (member) {
        m_d->memberTargets.answered(member->node, std::get<AttemptAnswering>(event.body).relayed, event.at);
    }
}

void RequestRouter::attemptFinished(const Event &event, EffectList &effects)
{
    const Context context = contextOf(event, effects);
    const auto &finished = std::get<AttemptFinished>(event.body);
    Request *request = m_d->table.findByAttempt(finished.attempt);
    if (!request) {
        return;
    }
    m_d->attempts.end(*request, finished, m_d->document().executionLimit, event.at);
    const auto *unknown = std::get_if<AttemptUnknown>(&finished.result);
    if (!unknown || !m_d->attemptLost(*request, *unknown, context)) {
        std::visit([&](const auto &result) { m_d->handleResult(*request, result, context); }, finished.result);
    }
    m_d->dispatchQueue(context);
    m_d->dispatchIsolated(context);
}

void RequestRouter::ownershipChanged(const Event &event, EffectList &effects)
{
    const Context context = contextOf(event, effects);
    m_d->setDeduplicationBounds();
    m_d->retryPolicy.setLimits(m_d->document(), m_d->ownership->members().size());
    m_d->planner.invalidateReplicas();
    m_d->rerouteQueued(context);
    if (m_d->mapVersion != m_d->ownership->map().version) {
        m_d->mapVersion = m_d->ownership->map().version;
        m_d->cancelOutdatedForwards(context);
    }
    m_d->rerouteAwaitingOwner(context);
    m_d->dispatchQueue(context);
}

std::uint32_t RequestRouter::blockingRequests(ShardIndex shard) const
{
    return m_d->admission.blocking(shard);
}

std::uint32_t RequestRouter::runningRequests() const
{
    return static_cast<std::uint32_t>(m_d->table.size());
}

std::uint32_t RequestRouter::targetRequests() const
{
    return m_d->admission.inFlight() + m_d->admission.queue().size();
}

bool RequestRouter::takeProbe(MonotonicTime now)
{
    return m_d->admission.takeProbe(now);
}

bool RequestRouter::hasTargetEnded(const TargetInstance &target, const TargetName &successor) const
{
    return m_d->crashDetector.hasCrashed(target) || m_d->crashDetector.isReplaced(target, successor);
}

CrashSuspects &RequestRouter::crashSuspects()
{
    return m_d->suspects;
}

const CrashSuspects &RequestRouter::crashSuspects() const
{
    return m_d->suspects;
}

const StopSchedule &RequestRouter::stopSchedule() const
{
    return m_d->stopSchedule;
}

MemberLoad RequestRouter::takeLoad(MonotonicTime now)
{
    const Duration elapsed = now - m_d->loadSince.value_or(now);
    m_d->loadSince = now;
    MemberLoad load;
    load.slot = m_d->ownership->self();
    load.inFlight = m_d->admission.inFlight();
    load.queued = m_d->admission.queue().size();
    load.slots = m_d->admission.usableSlots(now);
    load.serviceTime = m_d->admission.pace().timePerSecond();
    load.linkWait = m_d->linkLoad.wait();
    load.healthy = m_d->admission.health().isHealthy(now);
    load.shards = m_d->loadMeter.take(elapsed);
    load.heavyKeys = m_d->heavyHitterSketch.take(elapsed);
    return load;
}

std::vector<DeduplicationEntry> RequestRouter::exportDeduplication(ShardIndex shard, MonotonicTime now) const
{
    const OwnershipMap &map = m_d->ownership->map();
    const std::uint32_t shards = m_d->document().shards;
    return m_d->deduplicationMemory.exportEntries(
        shard, [&](std::uint64_t keyHash) { return shardOfHash(keyHash, map, shards) == shard; }, now);
}

void RequestRouter::importDeduplication(const std::vector<DeduplicationEntry> &entries, MonotonicTime now)
{
    m_d->setDeduplicationBounds();
    for (const DeduplicationEntry &entry : entries) {
        m_d->deduplicationMemory.importEntry(entry, now);
    }
}

const RequestCounters &RequestRouter::counters() const
{
    RequestCounters &counters = m_d->replies.counters();
    counters.inFlight = m_d->admission.inFlight();
    counters.queued = m_d->admission.queue().size() + m_d->awaitingOwner.size() + m_d->awaitingIsolation.size();
    counters.crashSuspects = m_d->suspects.size();
    counters.targetLimit = m_d->admission.rateLimit().rate();
    counters.retriesDenied = m_d->retryPolicy.denied();
    counters.deduplicationEvictions = m_d->deduplicationMemory.evictions();
    return counters;
}

std::string RequestRouter::unknownSinceStop() const
{
    const auto &counts = m_d->replies.counters().unknownToCallers;
    std::string text;
    for (std::size_t cause = 0; cause < counts.size(); ++cause) {
        if (const std::uint64_t count = counts[cause] - m_d->unknownAtStop[cause]) {
            text += (text.empty() ? "" : ", ") + std::to_string(count) + ' ' + std::string(nameOf(static_cast<UnknownCause>(cause)));
        }
    }
    return text.empty() ? "none" : text;
}

const Document &RequestRouter::Private::document() const
{
    static const Document defaults;
    const Document *inForce = ownership->document();
    return inForce ? *inForce : defaults;
}

void RequestRouter::Private::setDeduplicationBounds()
{
    deduplicationMemory.setBounds(document().deduplicationEntries, document().deduplicationWindow);
    unknownForwards.setBounds(document().deduplicationEntries, document().deduplicationWindow);
}

void RequestRouter::Private::route(Request &request, const Context &context)
{
    request.state = Request::State::Routing;
    if (terminating) {
        refuseAsStopping(request, context);
        return;
    }
    if (context.now >= request.sendDeadline()) {
        refuse(request, {503, NotRunReason::DeadlineExpired, retryAfterWithoutOwner, "the request's deadline expired"}, context);
        return;
    }
    if (answerAsDuplicate(request, context) || refuseAsSuspect(request, context)) {
        return;
    }
    if (!mayBegin(request, context)) {
        refuseAsStopping(request, context);
        return;
    }
    if (!request.sharded) {
        planner.replicasFor(request).setOwnTarget(admission.queue().size(), admission.health().isHealthy(context.now));
    }
    request.shard = RoutePlanner::shardOf(request, *ownership);
    const Route route = planner.plan(request, *ownership, context.now, context.wallTime);
    if (mayHaveRunElsewhere(request, route, context)) {
        request.outcomeUnknown = true;
        refuse(request, {502, NotRunReason::Overloaded, {}, "the first request with this Idempotency-Key may have run at a former owner of the key"}, context);
        return;
    }
    if (const auto *target = std::get_if<RouteToTarget>(&route)) {
        admit(request, *target, context);
        return;
    }
    const auto *to = std::get_if<RouteToMember>(&route);
    if (to && !stopSchedule.mayPassOn(request)) {
        refuseAsStopping(request, context);
        return;
    }
    if (to && request.hops < maximumHops) {
        if (request.hops == 0) {
            request.entryEndsAt = stopSchedule.statedRequestsEnd();
        } else {
            request.entryEndsAt = std::min(request.entryEndsAt, stopSchedule.requestsEndOf(request.entry));
        }
        attempts.forward(request, *to, stopping ? slotAtStop : ownership->self(), context.now, context.wallTime, context.effects);
        request.ownerReleases = isReleasing(request);
        return;
    }
    if (request.hops > 0) {
        refuse(request, {503, NotRunReason::NotOwner, retryAfterWithoutOwner, "this node does not own the key"}, context);
        return;
    }
    awaitOwner(request, admissionPolicy.latestSendTime(request), context);
}

void RequestRouter::Private::admit(Request &request, const RouteToTarget &target, const Context &context)
{
    request.shard = target.shard;
    if (!request.loadCounted) {
        request.loadCounted = true;
        // A service that is not sharded has no shards; in a cell of several services shard 0 belongs to another service.
        if (request.sharded || !request.routed) {
            loadMeter.count(target.shard);
        }
        if (request.sharded && !request.routed) {
            heavyHitterSketch.count(request.keyHash);
        }
    }
    if (!linkLoad.admits(request, admission.serviceTime(request.workClass), context.now)) {
        refuseForLink(request, context);
        return;
    }
    linkLoad.admitted(request);
    if (admission.queue().isEmpty() && admission.maySend(document(), context.now)) {
        sendToTarget(request, target, context);
        return;
    }
    enqueue(request, context);
}

void RequestRouter::Private::enqueue(Request &request, const Context &context)
{
    const auto place = admissionPolicy.place(request, document(), context.now);
    if (admission.queue().size() >= document().queue || !place) {
        handleFullQueue(request, context);
        return;
    }
    enqueueAt(request, *place);
    replies.record(TimelineRecord::Kind::RequestQueued, request, context.effects);
}

void RequestRouter::Private::enqueueAt(Request &request, const AdmissionPolicy::Place &place)
{
    request.state = Request::State::Queued;
    request.rank = place.rank;
    admission.queue().push(request.id, place.rank, admission.serviceTime(request.workClass));
    wakeQueue.schedule(request, place.waitsUntil);
}

/** Returns a request that can no longer meet its objective to the queue as late, or refuses it. */
void RequestRouter::Private::requeueAsLate(Request &request, const Context &context)
{
    if (const auto place = admissionPolicy.placeAsLate(request, document(), context.now)) {
        enqueueAt(request, *place);
        return;
    }
    refuseAsExpired(request, context);
}

void RequestRouter::Private::placeQueuedAgain(const Context &context)
{
    for (const RequestId id : admission.queue().takeAll()) {
        Request &request = *table.find(id);
        wakeQueue.cancel(request);
        const auto place =
            request.rank.late ? admissionPolicy.placeAsLate(request, document(), context.now) : admissionPolicy.place(request, document(), context.now);
        if (place) {
            enqueueAt(request, *place);
        } else {
            handleFullQueue(request, context);
        }
    }
}

void RequestRouter::Private::handleFullQueue(Request &request, const Context &context)
{
    std::string reason = "the queue for the target is full: " + admission.describe(document(), context.now);
    if (request.sharded || request.hops > 0) {
        const Duration retryAfter = admission.takeReturnTime(request, document(), context.now);
        refuse(request, {503, NotRunReason::Overloaded, retryAfter, std::move(reason)}, context);
        return;
    }
    // Handled like a refusal by a replica, because another replica may have room in its queue.
    request.destination = Request::Destination::Member;
    request.member = ownership->self();
    ++request.attempts;
    AttemptNotRun result;
    result.reason = NotRunReason::Overloaded;
    result.retryAfter = admission.retryAfter(document(), context.now);
    result.notSent = true;
    RetryDecision decision = retryPolicy.decideAfterNotRun(request, result, context.now);
    if (auto *end = std::get_if<GiveUp>(&decision)) {
        end->refusal.detail = std::move(reason);
        end->refusal.retryAfter = admission.takeReturnTime(request, document(), context.now);
    }
    applyDecision(request, decision, context);
}

void RequestRouter::Private::refuseForLink(Request &request, const Context &context)
{
    ++replies.counters().refusedForLink;
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(linkLoad.wait());
    refuse(request,
           {503, NotRunReason::Overloaded, linkLoad.wait(), "the VM's link is full: it takes " + std::to_string(wait.count()) + " ms for the answers ahead"},
           context);
}

void RequestRouter::Private::refuseAsExpired(Request &request, const Context &context)
{
    const Duration retryAfter = admission.takeReturnTime(request, document(), context.now);
    refuse(request,
           {503, NotRunReason::DeadlineExpired, retryAfter, "no slot of the target became free in time: " + admission.describe(document(), context.now)},
           context);
}

void RequestRouter::Private::refuseWhatMayNotBegin(const Context &context)
{
    for (const RequestId id : table.ids()) {
        Request *request = table.find(id);
        if (request && isWaiting(*request) && !mayBegin(*request, context)) {
            removeFromQueues(*request);
            refuseAsStopping(*request, context);
        }
    }
}

void RequestRouter::Private::endRequests(bool ofPeers, const Context &context)
{
    for (const RequestId id : table.ids()) {
        Request *request = table.find(id);
        // The request may have ended together with one that it had joined.
        if (!request || (request->hops > 0) != ofPeers || request->cancelled || request->answerBegun || request->state == Request::State::AwaitingTargetCheck) {
            continue;
        }
        if (request->state == Request::State::Running) {
            context.effects.add(CancelAttempt{request->attempt});
            continue;
        }
        // The request that this one waits for is still running and may complete.
        request->outcomeUnknown = request->outcomeUnknown || request->state == Request::State::Joined;
        removeFromQueues(*request);
        refuseAsStopping(*request, context);
    }
}

void RequestRouter::Private::refuseAsStopping(Request &request, const Context &context)
{
    const std::uint16_t status = request.outcomeUnknown ? 502 : 503;
    refuse(request, {status, NotRunReason::Stopping, retryAfterOwnershipChange, "this node is stopping"}, context);
}

void RequestRouter::Private::awaitOwner(Request &request, MonotonicTime at, const Context &context)
{
    const MonotonicTime giveUpAt = admissionPolicy.ownerWaitLimit(request);
    if (context.now >= giveUpAt || awaitingOwner.size() >= document().queue) {
        const Duration retryAfter = request.routed ? retryAfterOwnershipChange : retryAfterWithoutOwner;
        refuse(request, {503, NotRunReason::NotOwner, retryAfter, "no node may serve the key now"}, context);
        return;
    }
    request.state = Request::State::AwaitingOwner;
    awaitingOwner.push(request.id);
    wakeQueue.schedule(request, std::min(at, giveUpAt));
    replies.record(TimelineRecord::Kind::RequestQueued, request, context.effects, "no node owns the key");
}

void RequestRouter::Private::sendToTarget(Request &request, const RouteToTarget &target, const Context &context)
{
    const MonotonicTime leaseEnd = ownership->workDeadline();
    const MonotonicTime executionEnd = context.now + document().executionLimit;
    const MonotonicTime deadline = std::min({request.deadline, leaseEnd, executionEnd});
    request.timeBound = deadline == request.deadline ? Request::TimeBound::Deadline
                        : deadline == leaseEnd       ? Request::TimeBound::Lease
                                                     : Request::TimeBound::ExecutionLimit;
    if (deadline <= context.now) {
        // The lease expires too soon to run the request.
        AttemptNotRun result;
        result.reason = NotRunReason::NotOwner;
        handleResult(request, result, context);
        return;
    }
    if (refuseAsSuspect(request, context)) {
        return;
    }
    if (request.suspect && runsSuspect()) {
        awaitIsolation(request, context);
        return;
    }
    if (usesDeduplication(request)) {
        deduplicationMemory.begin(request);
    }
    attempts.sendToTarget(request, target, ownership->self(), {deadline, stopSchedule.workEnd(request, context.now)}, context.now, context.effects);
}

void RequestRouter::Private::handleResult(Request &request, const AttemptAnswered &result, const Context &context)
{
    if (request.destination == Request::Destination::Target && !suspects.isEmpty() && suspects.recordAnswer(request.source.identity(), context.wallTime)) {
        replies.record(TimelineRecord::Kind::SuspectCleared, request, context.effects, toText(request.source.identity()));
    }
    if (isFirstOfKey(request)) {
        deduplicationMemory.finishAnswered(request, result.answer, context.now);
        releaseJoined(request, [&](Request &joined) {
            if (result.answer) {
                replies.answerFromStore(joined, *result.answer, context.effects);
                erase(joined);
                return;
            }
            joined.outcomeUnknown = true;
            refuse(joined,
                   {409, NotRunReason::BadRequest, {}, "the first request with this Idempotency-Key was answered, but its answer was too large to store"},
                   context);
        });
    }
    if (request.destination == Request::Destination::Target && result.status < leastFailureStatus) {
        linkLoad.answered(request.workClass, result.bodyBytes);
    }
    replies.recordAnswered(request, result.status, context.now, context.effects);
    erase(request);
}

void RequestRouter::Private::handleResult(Request &request, const AttemptNotRun &result, const Context &context)
{
    std::vector<RequestId> joined;
    if (isFirstOfKey(request)) {
        deduplicationMemory.forget(request);
        joined = std::exchange(request.joinedRequests, {});
    }
    const bool ownerRefused = result.reason != NotRunReason::NotConnected && result.reason != NotRunReason::Overloaded;
    request.ownerRefusals += ownerRefused ? 1 : 0;
    request.freshConnection = request.freshConnection || result.reason == NotRunReason::NotConnected;
    if (request.cancelled) {
        erase(request);
    } else {
        applyDecision(request, retryPolicy.decideAfterNotRun(request, result, context.now), context);
    }
    for (const RequestId id : joined) {
        Request *waiting = table.find(id);
        if (waiting && waiting->state == Request::State::Joined) {
            wakeQueue.cancel(*waiting);
            route(*waiting, context);
        }
    }
}

void RequestRouter::Private::handleResult(Request &request, const AttemptUnknown &result, const Context &context)
{
    if (isFirstOfKey(request)) {
        deduplicationMemory.finishUnknown(request, context.now);
        releaseJoined(request, [&](Request &joined) {
            joined.outcomeUnknown = true;
            refuse(joined, {502, NotRunReason::Overloaded, {}, "the outcome of the first request with this Idempotency-Key is unknown"}, context);
        });
    }
    if (usesDeduplication(request) && request.destination == Request::Destination::Member) {
        unknownForwards.remember(request.deduplicationKey, request.member, context.now);
    }
    if (result.crashedTarget) {
        request.crashedTarget = result.crashedTarget;
        // The other node tells the rest of the cell.
        const RequestIdentity identity = request.source.identity();
        suspects.merge({identity.content, {}, {{*result.crashedTarget, identity.caller, context.wallTime}}}, context.wallTime);
    }
    request.outcomeUnknown = true;
    request.unknownAttempt = unknownAttemptOf(request, result, context.now);
    ++request.unknownAttempts;
    request.freshConnection = true;
    if (request.cancelled) {
        erase(request);
        return;
    }
    if (result.answerBegun) {
        replies.recordTruncatedAnswer(request, context.effects);
        erase(request);
        return;
    }
    if (result.reason == AttemptUnknown::Reason::WorkTimeExpired) {
        handleExpiredWork(request, result, context);
        return;
    }
    const bool attemptsExhausted = hasUsedUpAttempts(request);
    // The node that received the request from its caller decides whether another target may run it.
    const bool endsHere = request.crashedTarget && request.hops > 0;
    if (request.idempotent && !attemptsExhausted && !endsHere) {
        applyDecision(request, retryPolicy.decideAfterUnknown(request, result, context.now), context);
        return;
    }
    const std::uint16_t status = result.reason == AttemptUnknown::Reason::DeadlineExpired ? 504 : 502;
    refuse(request, {result.status == 0 ? status : result.status, NotRunReason::Overloaded, {}, "the request may have run and may not be sent again"}, context);
}

void RequestRouter::Private::handleExpiredWork(Request &request, const AttemptUnknown &result, const Context &context)
{
    ++replies.counters().workTimeExpired;
    request.expiredWork = std::max(request.expiredWork, context.now - request.sentAt);
    if (mayRepeatExpiredWork(request, context)) {
        applyDecision(request, retryPolicy.decideAfterUnknown(request, result, context.now), context);
        return;
    }
    refuse(request,
           {result.status, NotRunReason::DeadlineExpired, {}, "the target did not end its work in the time that a stop of a node would leave it"},
           context);
}

bool RequestRouter::Private::mayRepeatExpiredWork(const Request &request, const Context &context)
{
    // The node that received the request from its caller chooses the replica.
    const bool mayBeSent = request.hops == 0 && request.idempotent && !request.sharded && !hasUsedUpAttempts(request) && mayBegin(request, context);
    return mayBeSent && planner.replicasFor(request).chooseFaster(*ownership, request, context.now, context.wallTime).has_value();
}

void RequestRouter::Private::applyDecision(Request &request, const RetryDecision &decision, const Context &context)
{
    if (!mayBegin(request, context) && !std::holds_alternative<GiveUp>(decision)) {
        refuseAsStopping(request, context);
        return;
    }
    std::visit(Overloaded{
                   [&](const RetryNow &) { route(request, context); },
                   [&](const RetryAt &retry) {
                       request.state = Request::State::BackingOff;
                       wakeQueue.schedule(request, retry.at);
                   },
                   [&](const AwaitOwner &wait) { awaitOwner(request, wait.at, context); },
                   [&](const GiveUp &end) { refuse(request, end.refusal, context); },
               },
               decision);
}

bool RequestRouter::Private::attemptLost(Request &request, const AttemptUnknown &result, const Context &context)
{
    const bool broken = result.reason == AttemptUnknown::Reason::ConnectionLost || result.reason == AttemptUnknown::Reason::Unacknowledged
                        || result.reason == AttemptUnknown::Reason::TruncatedAnswer;
    if (!broken || request.destination != Request::Destination::Target || request.cancelled || ownership->isTargetDraining()) {
        return false;
    }
    const RequestIdentity identity = request.source.identity();
    if (crashDetector.attemptLost({request.id, identity, request.target, result, context.now})) {
        context.effects.add(CheckTarget{admission.health().endpoint(), request.target});
    }
    if (crashDetector.hasCrashed(request.target)) {
        request.crashedTarget = targetRunOf(request.target);
        suspects.recordCrash(identity, *request.crashedTarget, context.wallTime);
        return false;
    }
    request.state = Request::State::AwaitingTargetCheck;
    // It may have run, whatever ends it while it waits.
    request.outcomeUnknown = true;
    return true;
}

void RequestRouter::Private::targetCrashed(const TargetInstance &target, const Context &context)
{
    ++replies.counters().targetCrashes;
    const std::vector<LostAttempt> lost = crashDetector.lostAttempts(target);
    for (const LostAttempt &attempt : lost) {
        suspects.recordCrash(attempt.identity, targetRunOf(target), context.wallTime);
    }
    TimelineRecord record;
    record.kind = TimelineRecord::Kind::TargetCrashed;
    record.detail = target.name.value() + " with " + std::to_string(lost.size()) + " requests:";
    for (std::size_t i = 0; i < std::min(lost.size(), listedRequests); ++i) {
        record.detail += ' ' + toText(lost[i].identity) + " (" + std::to_string(suspects.judge(lost[i].identity, context.wallTime).crashes) + ')';
    }
    context.effects.record(std::move(record));
}

bool RequestRouter::Private::refuseAsSuspect(Request &request, const Context &context)
{
    request.suspect = false;
    if (suspects.isEmpty()) {
        return false;
    }
    const RequestIdentity identity = request.source.identity();
    const CrashSuspects::Judgement judgement = suspects.judge(identity, context.wallTime);
    request.suspect = judgement.crashes > 0;
    if (judgement.refusedFor == Duration::zero()) {
        return false;
    }
    ++replies.counters().refusedAsSuspect;
    std::string detail = std::to_string(judgement.crashes) + " targets crashed while they ran this request (" + toText(identity) + ")";
    refuse(request, {503, NotRunReason::TargetsCrashed, judgement.refusedFor, std::move(detail)}, context);
    return true;
}

bool RequestRouter::Private::runsSuspect()
{
    bool found = crashDetector.isChecking();
    table.forEachRunning([&](const Request &request) {
        // An answer that has begun shows that the target got on with the request; a long download must not hold up the others.
        const bool isAtTarget = request.destination == Request::Destination::Target && !request.answerBegun;
        found = found || (isAtTarget && suspects.judge(request.source.identity(), WallTime()).crashes > 0);
    });
    return found;
}

void RequestRouter::Private::awaitIsolation(Request &request, const Context &context)
{
    const MonotonicTime sendBefore = admissionPolicy.latestSendTime(request);
    if (context.now >= sendBefore || awaitingIsolation.size() >= document().queue) {
        refuseWithoutIsolation(request, context);
        return;
    }
    request.state = Request::State::AwaitingIsolation;
    awaitingIsolation.push(request.id);
    wakeQueue.schedule(request, sendBefore);
    replies.record(TimelineRecord::Kind::RequestQueued, request, context.effects, "a target crashed while it may have been running the request");
}

void RequestRouter::Private::refuseWithoutIsolation(Request &request, const Context &context)
{
    ++replies.counters().refusedAsSuspect;
    std::string detail = "a target crashed while it may have been running this request (" + toText(request.source.identity())
                         + "), and other such requests ran until its time was over";
    refuse(request, {503, NotRunReason::TargetsCrashed, admission.takeReturnTime(request, document(), context.now), std::move(detail)}, context);
}

void RequestRouter::Private::dispatchIsolated(const Context &context)
{
    if (awaitingIsolation.isEmpty() || runsSuspect()) {
        return;
    }
    for (const RequestId id : awaitingIsolation.takeAll()) {
        Request &request = *table.find(id);
        wakeQueue.cancel(request);
        route(request, context);
    }
}

bool RequestRouter::Private::isFirstOfKey(const Request &request) const
{
    return usesDeduplication(request) && deduplicationMemory.isFirst(request);
}

bool RequestRouter::Private::answerAsDuplicate(Request &request, const Context &context)
{
    if (!usesDeduplication(request)) {
        return false;
    }
    deduplicationMemory.expire(context.now);
    const DeduplicationMemory::Result known = deduplicationMemory.find(request);
    if (std::holds_alternative<DeduplicationMemory::Absent>(known)) {
        return false;
    }
    std::visit(
        Overloaded{
            [](const DeduplicationMemory::Absent &) {},
            [&](const DeduplicationMemory::Running &running) { joinRunning(request, running.first, context); },
            [&](const DeduplicationMemory::Answered &answered) {
                replies.answerFromStore(request, *answered.answer, context.effects);
                erase(request);
            },
            [&](const DeduplicationMemory::Unknown &) {
                request.outcomeUnknown = true;
                refuse(request, {502, NotRunReason::Overloaded, {}, "the outcome of the first request with this Idempotency-Key is unknown"}, context);
            },
            [&](const DeduplicationMemory::AnswerNotKept &) {
                request.outcomeUnknown = true;
                refuse(request,
                       {409, NotRunReason::BadRequest, {}, "the first request with this Idempotency-Key was answered, but its answer was too large to store"},
                       context);
            },
            [&](const DeduplicationMemory::KeyReused &) {
                refuse(request, {422, NotRunReason::BadRequest, {}, "the Idempotency-Key was already used for a different request"}, context);
            },
        },
        known);
    return true;
}

bool RequestRouter::Private::mayHaveRunElsewhere(const Request &request, const Route &route, const Context &context) const
{
    if (!usesDeduplication(request) || !request.sharded || std::holds_alternative<NoRoute>(route)) {
        return false;
    }
    const auto *to = std::get_if<RouteToMember>(&route);
    return unknownForwards.mayHaveRunElsewhere(request.deduplicationKey, to ? to->member->slot : ownership->self(), context.now);
}

void RequestRouter::Private::joinRunning(Request &request, RequestId first, const Context &context)
{
    Request *running = table.find(first);
    assert(running && (running->state == Request::State::Running || running->state == Request::State::AwaitingTargetCheck));
    running->joinedRequests.push_back(request.id);
    request.state = Request::State::Joined;
    wakeQueue.schedule(request, request.deadline);
    ++replies.counters().duplicatesJoined;
    replies.record(TimelineRecord::Kind::DuplicateJoined, request, context.effects);
}

template <typename Function>
void RequestRouter::Private::releaseJoined(Request &request, Function function)
{
    for (const RequestId id : std::exchange(request.joinedRequests, {})) {
        Request *joined = table.find(id);
        if (joined && joined->state == Request::State::Joined) {
            wakeQueue.cancel(*joined);
            function(*joined);
        }
    }
}

void RequestRouter::Private::removeFromQueues(Request &request)
{
    wakeQueue.cancel(request);
    if (request.state == Request::State::Queued) {
        admission.queue().remove(request.rank);
    } else if (request.state == Request::State::AwaitingOwner) {
        awaitingOwner.remove(request.id);
    } else if (request.state == Request::State::AwaitingIsolation) {
        awaitingIsolation.remove(request.id);
    }
}

void RequestRouter::Private::wake(Request &request, const Context &context)
{
    const Request::State state = request.state;
    removeFromQueues(request);
    if (state == Request::State::Joined) {
        // The request that this one waits for is still running and may complete.
        request.outcomeUnknown = true;
        refuse(request, {504, NotRunReason::DeadlineExpired, {}, "the first request with this Idempotency-Key is still running"}, context);
        return;
    }
    if (state == Request::State::AwaitingIsolation) {
        refuseWithoutIsolation(request, context);
        return;
    }
    if (state == Request::State::Queued) {
        if (request.rank.late || context.now >= admissionPolicy.latestSendTime(request)) {
            refuseAsExpired(request, context);
        } else {
            requeueAsLate(request, context);
        }
        return;
    }
    route(request, context);
}

void RequestRouter::Private::dispatchQueue(const Context &context)
{
    while (!admission.queue().isEmpty() && admission.maySend(document(), context.now)) {
        Request &request = *table.find(*admission.queue().pop());
        wakeQueue.cancel(request);
        const auto target = RoutePlanner::planTarget(request, *ownership, context.now);
        if (context.now > admissionPolicy.latestSendTime(request)) {
            refuseAsExpired(request, context);
        } else if (!target) {
            route(request, context);
        } else if (!answerAsDuplicate(request, context)) {
            sendToTarget(request, *target, context);
        }
    }
}

void RequestRouter::Private::rerouteQueued(const Context &context)
{
    RankedQueue &queue = admission.queue();
    if (queue.isEmpty()) {
        return;
    }
    const Request &front = *table.find(queue.front());
    if (mapVersion == ownership->map().version && ownership->mayAdmit(front.shard, context.now)) {
        return;
    }
    for (const RequestId id : queue.takeAll()) {
        Request &request = *table.find(id);
        const auto target = RoutePlanner::planTarget(request, *ownership, context.now);
        if (target) {
            request.shard = target->shard;
            queue.push(id, request.rank, admission.serviceTime(request.workClass));
            continue;
        }
        wakeQueue.cancel(request);
        route(request, context);
    }
}

void RequestRouter::Private::rerouteAwaitingOwner(const Context &context)
{
    if (awaitingOwner.isEmpty()) {
        return;
    }
    const std::deque<RequestId> waiting = awaitingOwner.ids();
    for (const RequestId id : waiting) {
        Request &request = *table.find(id);
        const Route route = planner.plan(request, *ownership, context.now, context.wallTime);
        if (hasNewRoute(request, route)) {
            removeFromQueues(request);
            this->route(request, context);
        }
    }
}

bool RequestRouter::Private::hasNewRoute(const Request &request, const Route &route) const
{
    const bool tried = request.attempts > 0;
    if (const auto *target = std::get_if<RouteToTarget>(&route)) {
        return !tried || request.destination != Request::Destination::Target || request.fence != target->fence;
    }
    if (const auto *to = std::get_if<RouteToMember>(&route)) {
        return !tried || request.member != to->member->slot || request.fence != to->fence;
    }
    return false;
}

bool RequestRouter::Private::isReleasing(const Request &request) const
{
    const OwnershipMap &map = ownership->map();
    if (!request.sharded || request.shard.value() >= map.shards.size()) {
        return false;
    }
    const ShardOwnership &entry = map.shards[request.shard.value()];
    return entry.state == ShardOwnership::State::Releasing && entry.owner == request.member;
}

void RequestRouter::Private::cancelOutdatedForwards(const Context &context)
{
    if (stopping) {
        // The former owner may still be processing the current attempt, and there may be no time for another one.
        return;
    }
    std::size_t cancelled = 0;
    table.forEachRunning([&](Request &request) {
        const bool mayBeSentAgain = request.idempotent && !request.answerBegun && !request.cancelled && !request.ownerReplaced;
        if (!mayBeSentAgain || !request.sharded || request.destination != Request::Destination::Member || request.hops > 0) {
            return;
        }
        request.ownerReleases = request.ownerReleases || isReleasing(request);
        if (request.ownerReleases) {
            return;
        }
        const Route route = planner.plan(request, *ownership, context.now, context.wallTime);
        const auto *to = std::get_if<RouteToMember>(&route);
        const bool sameOwner = std::holds_alternative<NoRoute>(route) || (to && to->member->slot == request.member);
        if (!sameOwner) {
            request.ownerReplaced = true;
            ++cancelled;
            context.effects.add(CancelAttempt{request.attempt});
        }
    });
    if (cancelled > 0) {
        replies.counters().forwardsCancelled += cancelled;
        TimelineRecord record;
        record.kind = TimelineRecord::Kind::ForwardsCancelled;
        record.detail = std::to_string(cancelled) + " requests, whose owners were lost";
        context.effects.record(std::move(record));
    }
}

void RequestRouter::Private::refuse(Request &request, Refusal refusal, const Context &context)
{
    if (!request.outcomeUnknown) {
        returningCallers.remember(request, context.now);
    }
    replies.refuse(request, std::move(refusal), context.effects);
    erase(request);
}

void RequestRouter::Private::erase(Request &request)
{
    linkLoad.ended(request);
    table.erase(request.id);
}

} // namespace nutmeghinge
