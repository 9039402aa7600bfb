#include "requestrouter.h"

#include "deduplicationmemory.h"
#include "document.h"
#include "effectlist.h"
#include "heavykeys.h"
#include "loadmeter.h"
#include "member.h"
#include "overloaded.h"
#include "ownershipmap.h"
#include "ownershipview.h"
#include "requestattempts.h"
#include "requestintake.h"
#include "requestqueue.h"
#include "requestreplies.h"
#include "requesttable.h"
#include "retrypolicy.h"
#include "routeplanner.h"
#include "shardof.h"
#include "targetadmission.h"
#include "unknownforwards.h"
#include "wakequeue.h"

#include <algorithm>
#include <cassert>

namespace nutmeghinge {

namespace {

constexpr std::uint32_t maximumHops = 2;
constexpr Duration retryAfterWithoutOwner = std::chrono::seconds(1);
/** A late request waits only where this many times its expected wait is left until it must be sent. */
constexpr int lateRoom = 1;
/** Longest wait of a routed request in a queue, so that a node that stops has answered all within its time to stop. */
constexpr Duration longestWait = std::chrono::seconds(4);
constexpr Duration retryAfterOfMove = std::chrono::milliseconds(500);

/** What one event lets the router use. */
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
        , retries(seed + 1)
        , random(seed + 2)
    {
    }

    const Document &document() const;
    void setBounds();

    // Routing.
    void route(Request &request, const Context &context);
    void admit(Request &request, const RouteToTarget &target, const Context &context);
    void enqueue(Request &request, const Context &context);
    void refuseAsFull(Request &request, const Context &context);
    void refuseAsLate(Request &request, const Context &context);
    void refuseAsStopping(Request &request, const Context &context);
    void awaitOwner(Request &request, MonotonicTime at, const Context &context);
    MonotonicTime giveUpTime(const Request &request) const;
    MonotonicTime ownerWaitEnd(const Request &request) const;
    bool missesObjective(const Request &request, MonotonicTime sentAt) const;
    bool placeInQueue(Request &request, bool late, const Context &context);
    void keepAsLate(Request &request, const Context &context);

    // Attempts.
    void sendToTarget(Request &request, const RouteToTarget &target, const Context &context);
    void finished(Request &request, const AttemptAnswered &result, const Context &context);
    void finished(Request &request, const AttemptNotRun &result, const Context &context);
    void finished(Request &request, const AttemptUnknown &result, const Context &context);
    void follow(Request &request, const RetryDecision &decision, const Context &context);

    // Duplicates.
    bool answerAsDuplicate(Request &request, const Context &context);
    bool mayHaveRunElsewhere(const Request &request, const Route &route, const Context &context) const;
    void join(Request &request, RequestId first, const Context &context);
    bool hasMemory(const Request &request) const { return !request.deduplicationKey.empty(); }
    /** The deduplication memory holds the request as the running one of its key. */
    bool isFirstOfKey(const Request &request) const;
    /** Calls the function with each request that joined and still waits. */
    template <typename Function>
    void releaseJoined(Request &request, Function function);

    // Waiting requests.
    void leaveQueues(Request &request);
    void wake(Request &request, const Context &context);
    void drainQueue(const Context &context);
    void rerouteQueued(const Context &context);
    void rerouteAwaiting(const Context &context);
    bool hasNewRoute(const Request &request, const Route &route) const;
    void replaceForwards(const Context &context);

    // Ends.
    void refuse(Request &request, Refusal refusal, const Context &context);
    void erase(Request &request);

    const OwnershipView *ownership = nullptr;
    RequestTable table;
    TargetAdmission admission;
    RequestQueue awaiting;
    WakeQueue wakes;
    RoutePlanner planner;
    RetryPolicy retries;
    PseudoRandom random;
    DeduplicationMemory memory;
    UnknownForwards unknownForwards;
    RequestReplies replies;
    RequestAttempts attempts{table, admission, planner, replies};
    LoadMeter loadMeter;
    HeavyKeys heavyKeys;
    std::optional<MonotonicTime> loadSince;
    Fence mapVersion;
    bool stopping = false;
    /** Nothing is begun any more. */
    bool ending = false;
};

RequestRouter::RequestRouter(std::uint64_t seed)
    : m_d(std::make_unique<Private>(seed))
{
}

RequestRouter::~RequestRouter() = default;

void RequestRouter::setOwnership(const OwnershipView &ownership)
{
    m_d->ownership = &ownership;
}

void RequestRouter::setTargetSilence(Duration silence)
{
    m_d->admission.health().setAnnouncementLifetime(silence);
}

void RequestRouter::tick(const Event &event, EffectList &effects)
{
    const Context context = contextOf(event, effects);
    if (!m_d->loadSince) {
        m_d->loadSince = event.at;
    }
    m_d->memory.expire(event.at);
    while (const auto due = m_d->wakes.takeDue(event.at)) {
        m_d->wake(*m_d->table.find(*due), context);
    }
    m_d->drainQueue(context);
}

void RequestRouter::stop(const Event &event, EffectList &effects)
{
    m_d->stopping = true;
    ownershipChanged(event, effects);
}

void RequestRouter::endRequests(const Event &event, EffectList &effects)
{
    const Context context = contextOf(event, effects);
    m_d->ending = true;
    for (const RequestId id : m_d->table.ids()) {
        Request *request = m_d->table.find(id);
        // Answers of a request that others had joined may have ended it.
        if (!request || request->cancelled || request->answerBegun) {
            continue;
        }
        if (request->state == Request::State::Running) {
            effects.add(CancelAttempt{request->attempt});
            continue;
        }
        m_d->leaveQueues(*request);
        m_d->refuseAsStopping(*request, context);
    }
}

void RequestRouter::targetAnnounced(const Event &event, EffectList &effects)
{
    m_d->admission.health().announced(std::get<TargetAnnounced>(event.body), event.at);
    ownershipChanged(event, effects);
}

void RequestRouter::targetProbed(const Event &event, EffectList &effects)
{
    m_d->admission.health().probed(std::get<TargetProbed>(event.body), m_d->admission.inFlight(), event.at);
    m_d->drainQueue(contextOf(event, effects));
}

void RequestRouter::requestArrived(const Event &event, EffectList &effects)
{
    const Context context = contextOf(event, effects);
    const auto &arrived = std::get<RequestArrived>(event.body);
    ++m_d->replies.counters().arrived;
    auto taken = takeInRequest(arrived, *m_d->ownership, event, m_d->random);
    if (auto *refusal = std::get_if<Refusal>(&taken)) {
        Request request;
        request.id = arrived.request;
        request.callerId = arrived.callerId;
        m_d->replies.refuse(request, std::move(*refusal), effects);
        return;
    }
    Request &request = m_d->table.insert(std::get<Request>(std::move(taken)));
    m_d->retries.requestArrived(m_d->document().retryPercent);
    request.shard = RoutePlanner::shardOf(request, *m_d->ownership);
    m_d->replies.record(TimelineRecord::Kind::RequestArrived, request, effects);
    m_d->route(request, context);
}

void RequestRouter::requestCancelled(const Event &event, EffectList &effects)
{
    Request *request = m_d->table.find(std::get<RequestCancelled>(event.body).request);
    if (!request || request->cancelled) {
        return;
    }
    m_d->replies.record(TimelineRecord::Kind::RequestRefused, *request, effects, "cancelled by its caller");
    if (request->state != Request::State::Running) {
        m_d->leaveQueues(*request);
        m_d->erase(*request);
        return;
    }
    request->cancelled = true;
    // Another node finds out that the caller has gone, and drops a request that has not reached its target.
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
    std::visit([&](const auto &result) { m_d->finished(*request, result, context); }, finished.result);
    m_d->drainQueue(context);
}

void RequestRouter::ownershipChanged(const Event &event, EffectList &effects)
{
    const Context context = contextOf(event, effects);
    m_d->setBounds();
    m_d->planner.invalidateReplicas();
    m_d->rerouteQueued(context);
    if (m_d->mapVersion != m_d->ownership->map().version) {
        m_d->mapVersion = m_d->ownership->map().version;
        m_d->replaceForwards(context);
    }
    m_d->rerouteAwaiting(context);
    m_d->drainQueue(context);
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

MemberLoad RequestRouter::takeLoad(MonotonicTime now)
{
    const Duration elapsed = now - m_d->loadSince.value_or(now);
    m_d->loadSince = now;
    MemberLoad load;
    load.slot = m_d->ownership->self();
    load.inFlight = m_d->admission.inFlight();
    load.queued = m_d->admission.queue().size();
    load.slots = m_d->admission.health().slots();
    load.serviceTime = m_d->admission.serviceTime();
    load.healthy = m_d->admission.health().isHealthy(now);
    load.shards = m_d->loadMeter.take(elapsed);
    load.heavyKeys = m_d->heavyKeys.take(elapsed);
    return load;
}

std::vector<DeduplicationEntry> RequestRouter::exportDeduplication(ShardIndex shard, MonotonicTime now) const
{
    const OwnershipMap &map = m_d->ownership->map();
    const std::uint32_t shards = m_d->document().shards;
    return m_d->memory.exported(
        shard, [&](std::uint64_t keyHash) { return shardOfHash(keyHash, map, shards) == shard; }, now);
}

void RequestRouter::importDeduplication(const std::vector<DeduplicationEntry> &entries, MonotonicTime now)
{
    m_d->setBounds();
    for (const DeduplicationEntry &entry : entries) {
        m_d->memory.import(entry, now);
    }
}

const RequestCounters &RequestRouter::counters() const
{
    RequestCounters &counters = m_d->replies.counters();
    counters.inFlight = m_d->admission.inFlight();
    counters.queued = m_d->admission.queue().size() + m_d->awaiting.size();
    counters.retriesDenied = m_d->retries.denied();
    counters.deduplicationEvictions = m_d->memory.evictions();
    return counters;
}

const Document &RequestRouter::Private::document() const
{
    static const Document defaults;
    const Document *inForce = ownership->document();
    return inForce ? *inForce : defaults;
}

void RequestRouter::Private::setBounds()
{
    memory.setBounds(document().deduplicationEntries, document().deduplicationWindow);
    unknownForwards.setBounds(document().deduplicationEntries, document().deduplicationWindow);
}

void RequestRouter::Private::route(Request &request, const Context &context)
{
    request.state = Request::State::Routing;
    if (ending) {
        refuseAsStopping(request, context);
        return;
    }
    if (context.now >= request.deadline) {
        refuse(request, {503, NotRunReason::DeadlineExpired, retryAfterWithoutOwner, "deadline expired"}, context);
        return;
    }
    if (answerAsDuplicate(request, context)) {
        return;
    }
    if (!request.divided) {
        planner.replicasFor(request).setOwnTarget(admission.queue().size(), admission.health().isHealthy(context.now));
    }
    request.shard = RoutePlanner::shardOf(request, *ownership);
    const Route route = planner.plan(request, *ownership, context.now, context.wallTime);
    if (mayHaveRunElsewhere(request, route, context)) {
        request.unknown = true;
        refuse(request, {502, NotRunReason::Overloaded, {}, "the key's first request may have run at an earlier owner"}, context);
        return;
    }
    if (const auto *target = std::get_if<RouteToTarget>(&route)) {
        admit(request, *target, context);
        return;
    }
    const auto *to = std::get_if<RouteToMember>(&route);
    if (to && request.hops < maximumHops) {
        attempts.forward(request, *to, context.now, context.effects);
        return;
    }
    if (request.hops > 0) {
        refuse(request, {503, NotRunReason::NotOwner, retryAfterWithoutOwner, "this node does not own the key"}, context);
        return;
    }
    awaitOwner(request, giveUpTime(request), context);
}

void RequestRouter::Private::admit(Request &request, const RouteToTarget &target, const Context &context)
{
    request.shard = target.shard;
    if (!request.counted) {
        request.counted = true;
        // A service that is not divided has no shards; in a cell of several services number 0 is another one's.
        if (request.divided || !request.routed) {
            loadMeter.count(target.shard);
        }
        if (request.divided && !request.routed) {
            heavyKeys.count(request.keyHash);
        }
    }
    if (admission.queue().isEmpty() && admission.hasFreeSlot(document(), context.now)) {
        sendToTarget(request, target, context);
        return;
    }
    enqueue(request, context);
}

void RequestRouter::Private::enqueue(Request &request, const Context &context)
{
    if (admission.queue().size() >= document().queue || !(placeInQueue(request, false, context) || placeInQueue(request, true, context))) {
        refuseAsFull(request, context);
        return;
    }
    replies.record(TimelineRecord::Kind::RequestQueued, request, context.effects);
}

/** Latest time at which the request may leave a queue for the target. */
MonotonicTime RequestRouter::Private::giveUpTime(const Request &request) const
{
    const MonotonicTime inTime = request.deadline - admission.serviceTime(request.workClass);
    return request.routed ? std::min(inTime, request.arrivedAt + longestWait) : inTime;
}

/** A routed request waits for a shard that moves only while its objective can be met; its caller is told when to come again. */
MonotonicTime RequestRouter::Private::ownerWaitEnd(const Request &request) const
{
    const MonotonicTime giveUpAt = giveUpTime(request);
    if (!request.routed || request.objectiveAt == MonotonicTime::max()) {
        return giveUpAt;
    }
    return std::min(giveUpAt, request.objectiveAt - admission.serviceTime(request.workClass));
}

/** The answer would come after the request's objective if it were sent then. */
bool RequestRouter::Private::missesObjective(const Request &request, MonotonicTime sentAt) const
{
    return request.objectiveAt != MonotonicTime::max() && sentAt + admission.serviceTime(request.workClass) > request.objectiveAt;
}

/**
 * Puts the request in the queue if it is expected to be answered in time there: within its objective, or, as a late one,
 * with so much room that the requests which still come before it leave it a chance.
 */
bool RequestRouter::Private::placeInQueue(Request &request, bool late, const Context &context)
{
    const Duration work = admission.serviceTime(request.workClass);
    const bool hasObjective = request.objectiveAt != MonotonicTime::max();
    const QueueRank rank{late, request.priority, late ? request.deadline : request.objectiveAt, request.id.value()};
    const MonotonicTime sentAt = context.now + admission.expectedWait(rank, document(), context.now);
    const Duration room = giveUpTime(request) - sentAt;
    if (room < Duration(0) || (!late && missesObjective(request, sentAt)) || (late && (!hasObjective || room < lateRoom * (sentAt - context.now)))) {
        return false;
    }
    request.state = Request::State::Queued;
    request.rank = rank;
    admission.queue().push(request.id, rank, work);
    const MonotonicTime giveUpAt = giveUpTime(request);
    wakes.schedule(request, late || !hasObjective ? giveUpAt : std::min(giveUpAt, request.objectiveAt - work));
    return true;
}

/** A request that waited past its objective stays only where it still has a good chance. */
void RequestRouter::Private::keepAsLate(Request &request, const Context &context)
{
    if (!placeInQueue(request, true, context)) {
        refuseAsLate(request, context);
    }
}

void RequestRouter::Private::refuseAsFull(Request &request, const Context &context)
{
    const Duration retryAfter = admission.retryAfter(document(), context.now);
    if (request.divided || request.hops > 0) {
        refuse(request, {503, NotRunReason::Overloaded, retryAfter, "the queue for the target is full"}, context);
        return;
    }
    // Another replica may have room.
    request.destination = Request::Destination::Member;
    request.member = ownership->self();
    ++request.attempts;
    AttemptNotRun result;
    result.reason = NotRunReason::Overloaded;
    result.retryAfter = retryAfter;
    finished(request, result, context);
}

void RequestRouter::Private::refuseAsLate(Request &request, const Context &context)
{
    const Duration retryAfter = admission.retryAfter(document(), context.now);
    refuse(request, {503, NotRunReason::DeadlineExpired, retryAfter, "no slot of the target became free in time"}, context);
}

void RequestRouter::Private::refuseAsStopping(Request &request, const Context &context)
{
    const std::uint16_t status = request.unknown ? 502 : 503;
    refuse(request, {status, NotRunReason::Stopping, retryAfterOfMove, "this node stops"}, context);
}

void RequestRouter::Private::awaitOwner(Request &request, MonotonicTime at, const Context &context)
{
    const MonotonicTime giveUpAt = ownerWaitEnd(request);
    if (context.now >= giveUpAt || awaiting.size() >= document().queue) {
        const Duration retryAfter = request.routed ? retryAfterOfMove : retryAfterWithoutOwner;
        refuse(request, {503, NotRunReason::NotOwner, retryAfter, "no node may serve the key now"}, context);
        return;
    }
    request.state = Request::State::AwaitingOwner;
    awaiting.push(request.id);
    wakes.schedule(request, std::min(at, giveUpAt));
    replies.record(TimelineRecord::Kind::RequestQueued, request, context.effects, "no owner");
}

void RequestRouter::Private::sendToTarget(Request &request, const RouteToTarget &target, const Context &context)
{
    const MonotonicTime deadline = std::min({request.deadline, ownership->workEndsBefore(), context.now + document().executionLimit});
    if (deadline <= context.now) {
        // The lease leaves no time for the request.
        AttemptNotRun result;
        result.reason = NotRunReason::NotOwner;
        finished(request, result, context);
        return;
    }
    if (hasMemory(request)) {
        memory.begin(request);
    }
    attempts.sendToTarget(request, target, ownership->self(), deadline, context.now, context.effects);
}

void RequestRouter::Private::finished(Request &request, const AttemptAnswered &result, const Context &context)
{
    if (isFirstOfKey(request)) {
        memory.finishAnswered(request, result.answer, context.now);
        releaseJoined(request, [&](Request &joined) {
            if (result.answer) {
                replies.answerFromStore(joined, *result.answer, context.effects);
                erase(joined);
                return;
            }
            joined.unknown = true;
            refuse(joined, {409, NotRunReason::BadRequest, {}, "the key's request was answered; the answer was too large to keep"}, context);
        });
    }
    replies.answered(request, result.status, context.now, context.effects);
    erase(request);
}

void RequestRouter::Private::finished(Request &request, const AttemptNotRun &result, const Context &context)
{
    std::vector<RequestId> joined;
    if (isFirstOfKey(request)) {
        memory.forget(request);
        joined = std::exchange(request.joined, {});
    }
    const bool ownerRefused = result.reason != NotRunReason::NotConnected && result.reason != NotRunReason::Overloaded;
    request.ownerRefusals += ownerRefused ? 1 : 0;
    request.freshConnection = request.freshConnection || result.reason == NotRunReason::NotConnected;
    if (request.cancelled) {
        erase(request);
    } else {
        follow(request, retries.afterNotRun(request, result, context.now), context);
    }
    for (const RequestId id : joined) {
        Request *waiting = table.find(id);
        if (waiting && waiting->state == Request::State::Joined) {
            wakes.cancel(*waiting);
            route(*waiting, context);
        }
    }
}

void RequestRouter::Private::finished(Request &request, const AttemptUnknown &result, const Context &context)
{
    if (isFirstOfKey(request)) {
        memory.finishUnknown(request, context.now);
        releaseJoined(request, [&](Request &joined) {
            joined.unknown = true;
            refuse(joined, {502, NotRunReason::Overloaded, {}, "the outcome of the key's first request is unknown"}, context);
        });
    }
    if (hasMemory(request) && request.destination == Request::Destination::Member) {
        unknownForwards.remember(request.deduplicationKey, request.member, context.now);
    }
    request.unknown = true;
    ++request.unknownAttempts;
    request.freshConnection = true;
    if (request.cancelled) {
        erase(request);
        return;
    }
    if (result.answerBegun) {
        replies.cutOff(request, context.effects);
        erase(request);
        return;
    }
    const bool triedOut = request.maximumAttempts != 0 && request.unknownAttempts >= request.maximumAttempts;
    if (request.idempotent && !triedOut) {
        follow(request, retries.afterUnknown(request, result, context.now), context);
        return;
    }
    const std::uint16_t status = result.reason == AttemptUnknown::Reason::DeadlineExpired ? 504 : 502;
    refuse(request, {result.status == 0 ? status : result.status, NotRunReason::Overloaded, {}, "the request may have run"}, context);
}

void RequestRouter::Private::follow(Request &request, const RetryDecision &decision, const Context &context)
{
    if (((stopping && request.routed) || ending) && !std::holds_alternative<GiveUp>(decision)) {
        refuseAsStopping(request, context);
        return;
    }
    std::visit(Overloaded{
                   [&](const RetryNow &) { route(request, context); },
                   [&](const RetryAt &retry) {
                       request.state = Request::State::BackingOff;
                       wakes.schedule(request, retry.at);
                   },
                   [&](const AwaitOwner &wait) { awaitOwner(request, wait.at, context); },
                   [&](const GiveUp &end) { refuse(request, end.refusal, context); },
               },
               decision);
}

bool RequestRouter::Private::isFirstOfKey(const Request &request) const
{
    return hasMemory(request) && memory.isFirst(request);
}

bool RequestRouter::Private::answerAsDuplicate(Request &request, const Context &context)
{
    if (!hasMemory(request)) {
        return false;
    }
    memory.expire(context.now);
    const DeduplicationMemory::Result known = memory.find(request);
    if (std::holds_alternative<DeduplicationMemory::Absent>(known)) {
        return false;
    }
    std::visit(Overloaded{
                   [](const DeduplicationMemory::Absent &) {},
                   [&](const DeduplicationMemory::Running &running) { join(request, running.first, context); },
                   [&](const DeduplicationMemory::Answered &answered) {
                       replies.answerFromStore(request, *answered.answer, context.effects);
                       erase(request);
                   },
                   [&](const DeduplicationMemory::Unknown &) {
                       request.unknown = true;
                       refuse(request, {502, NotRunReason::Overloaded, {}, "the outcome of the key's first request is unknown"}, context);
                   },
                   [&](const DeduplicationMemory::AnswerNotKept &) {
                       request.unknown = true;
                       refuse(request, {409, NotRunReason::BadRequest, {}, "the key's request was answered; the answer was too large to keep"}, context);
                   },
                   [&](const DeduplicationMemory::OtherRequest &) {
                       refuse(request, {422, NotRunReason::BadRequest, {}, "the Idempotency-Key was used for another request"}, context);
                   },
               },
               known);
    return true;
}

bool RequestRouter::Private::mayHaveRunElsewhere(const Request &request, const Route &route, const Context &context) const
{
    if (!hasMemory(request) || !request.divided || std::holds_alternative<NoRoute>(route)) {
        return false;
    }
    const auto *to = std::get_if<RouteToMember>(&route);
    return unknownForwards.mayHaveRunElsewhere(request.deduplicationKey, to ? to->member->slot : ownership->self(), context.now);
}

void RequestRouter::Private::join(Request &request, RequestId first, const Context &context)
{
    Request *running = table.find(first);
    assert(running && running->state == Request::State::Running);
    running->joined.push_back(request.id);
    request.state = Request::State::Joined;
    wakes.schedule(request, request.deadline);
    ++replies.counters().duplicatesJoined;
    replies.record(TimelineRecord::Kind::DuplicateJoined, request, context.effects);
}

template <typename Function>
void RequestRouter::Private::releaseJoined(Request &request, Function function)
{
    for (const RequestId id : std::exchange(request.joined, {})) {
        Request *joined = table.find(id);
        if (joined && joined->state == Request::State::Joined) {
            wakes.cancel(*joined);
            function(*joined);
        }
    }
}

void RequestRouter::Private::leaveQueues(Request &request)
{
    wakes.cancel(request);
    if (request.state == Request::State::Queued) {
        admission.queue().remove(request.rank);
    } else if (request.state == Request::State::AwaitingOwner) {
        awaiting.remove(request.id);
    }
}

void RequestRouter::Private::wake(Request &request, const Context &context)
{
    const Request::State state = request.state;
    leaveQueues(request);
    if (state == Request::State::Joined) {
        // The request that it waits for may run to its end.
        request.unknown = true;
        refuse(request, {504, NotRunReason::DeadlineExpired, {}, "the key's first request still runs"}, context);
        return;
    }
    if (state == Request::State::Queued) {
        if (request.rank.late || context.now >= giveUpTime(request)) {
            refuseAsLate(request, context);
        } else {
            keepAsLate(request, context);
        }
        return;
    }
    route(request, context);
}

void RequestRouter::Private::drainQueue(const Context &context)
{
    while (!admission.queue().isEmpty() && admission.hasFreeSlot(document(), context.now)) {
        Request &request = *table.find(*admission.queue().pop());
        wakes.cancel(request);
        const auto target = RoutePlanner::planTarget(request, *ownership, context.now);
        if (context.now > giveUpTime(request)) {
            refuseAsLate(request, context);
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
        wakes.cancel(request);
        route(request, context);
    }
}

void RequestRouter::Private::rerouteAwaiting(const Context &context)
{
    if (awaiting.isEmpty()) {
        return;
    }
    const std::deque<RequestId> waiting = awaiting.ids();
    for (const RequestId id : waiting) {
        Request &request = *table.find(id);
        const Route route = planner.plan(request, *ownership, context.now, context.wallTime);
        if (hasNewRoute(request, route)) {
            leaveQueues(request);
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

void RequestRouter::Private::replaceForwards(const Context &context)
{
    if (stopping) {
        // A stopping node begins no further attempt; the earlier owner may be at work on the present one.
        return;
    }
    table.forEachRunning([&](Request &request) {
        const bool mayBeSentAgain = request.idempotent && !request.answerBegun && !request.cancelled && !request.replaced;
        if (!mayBeSentAgain || !request.divided || request.destination != Request::Destination::Member || request.hops > 0) {
            return;
        }
        const Route route = planner.plan(request, *ownership, context.now, context.wallTime);
        const auto *to = std::get_if<RouteToMember>(&route);
        const bool sameOwner = std::holds_alternative<NoRoute>(route) || (to && to->member->slot == request.member);
        if (!sameOwner) {
            request.replaced = true;
            context.effects.add(CancelAttempt{request.attempt});
        }
    });
}

void RequestRouter::Private::refuse(Request &request, Refusal refusal, const Context &context)
{
    replies.refuse(request, std::move(refusal), context.effects);
    erase(request);
}

void RequestRouter::Private::erase(Request &request)
{
    table.erase(request.id);
}

} // namespace nutmeghinge
