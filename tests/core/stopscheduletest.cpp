#include "stopschedule.h"
#include "reducer.h"
#include "request.h"
#include "requestfixture.h"
#include "requestplay.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace nutmeghinge::test;
using namespace std::chrono_literals;

namespace {

constexpr Duration stopLimit = 7s;
/** Time after the stop request at which the node answers its callers itself. */
constexpr Duration ownRequestsEnd = 6s;
/** Time after the stop request at which targets stop working at them. */
constexpr Duration workEnd = ownRequestsEnd - stopLimit / 20;

RequestArrived requestWithin(Duration timeout, std::uint64_t id, std::uint32_t hops = 0)
{
    RequestArrived arrived = RouterFixture::request(id);
    arrived.timeout = timeout;
    arrived.hops = hops;
    return arrived;
}

/** Stops the target's node and then, after the given time, that of the caller; returns for how long the latter's request ran on, at most 8 s. */
Duration runAfterStops(Duration between)
{
    Timings timings = Timings::forHeartbeatsOf(TargetLeaseHarness::heartbeat);
    timings.stopLimit = 6s;
    // The last node has the only target of the service without keys.
    TargetLeaseHarness harness(3, 5, 1, timings);
    REQUIRE(harness.runUntilAllHeld(30s));
    harness.run(2s);
    RequestPlay play(harness, 5);
    RequestPlay::Call call{.host = "documents", .path = "/long/a", .caller = "1", .ignoresTime = true, .work = 20s, .timeout = 10s};
    play.send(0, call);
    harness.run(50ms);
    REQUIRE(call.running == 1);
    play.stop(2, 6s, 1, 1s);
    harness.run(between);
    const Duration stoppedAt = harness.now();
    play.stop(0, 6s, 1, 1s);
    harness.run(8s);
    REQUIRE(call.brokenOffAt);
    return *call.brokenOffAt - stoppedAt;
}

} // namespace

// Guards against requests that a stopping node passes on and then breaks off (LOST).
TEST_CASE("A stopping node refuses at once, as not run, a request that is not expected to end in the time left", "[request]")
{
    for (const MemberSlot owner : {MemberSlot(1), MemberSlot(2)}) {
        RouterFixture node;
        node.m_ownership.setOwner(owner);
        node.ownershipChanged();
        node.stop(stopLimit);
        node.arrive(requestWithin(ownRequestsEnd, 1));
        const auto refused = node.only<RefuseRequest>();
        CHECK(refused.status == 503);
        CHECK(refused.outcome == Outcome::NotRun);
        CHECK(refused.reason == NotRunReason::Stopping);
        CHECK(node.m_router.runningRequests() == 0);
        node.arrive(requestWithin(2s, 2));
        CHECK(node.all<RefuseRequest>().empty());
        CHECK(node.m_router.runningRequests() == 1);
        node.tickAfter(workEnd - 2s + 1ms);
        node.arrive(requestWithin(2s, 3));
        CHECK(node.only<RefuseRequest>().request == RequestId(3));
    }
}

// Guards against a target that is at work when the process of the caller's node ends (LOST).
TEST_CASE("A target gets no more time for a request than the stopping node of its caller has left", "[request]")
{
    RequestRoute route;
    route.host = "roster";
    route.prefix = "/";
    route.services = {{ServiceName("roster"), 1}};
    route.repeatable = true;
    route.timeout = 20s;
    route.objective = 1s;
    RouterFixture node(false);
    node.m_ownership.m_routes = RouteTable({route});
    node.m_ownership.m_document->executionLimit = 60s;
    node.m_ownership.m_members.resize(1);
    node.m_ownership.m_members.front().service = ServiceName("roster");
    node.ownershipChanged();
    const MonotonicTime stoppedAt = node.m_now;

    SECTION("the request arrives after the stop request of this node")
    {
        node.stop(stopLimit);
        node.tickAfter(1s);
        node.arrive(requestWithin(15s, 1));
        const auto sent = node.only<SendToTarget>();
        CHECK(sent.workEnd == stoppedAt + workEnd);
        CHECK(sent.deadline == node.m_now + 15s);
        node.tickAfter(workEnd - 2s + 1ms);
        node.arrive(requestWithin(15s, 2));
        CHECK(node.only<RefuseRequest>().outcome == Outcome::NotRun);
    }
    SECTION("another member, which received the request, is told to stop")
    {
        node.m_router.setStopLimit(stopLimit);
        node.memberStops(MemberSlot(2), ownRequestsEnd);
        for (const MemberSlot entry : {MemberSlot(2), MemberSlot(3)}) {
            RequestArrived arrived = requestWithin(15s, entry.value(), 1);
            arrived.entry = entry;
            arrived.routed = RoutedRequest{ServiceName("roster"), true, 0, 1s, 0};
            node.arrive(arrived);
            CHECK(node.only<SendToTarget>().workEnd == (entry == MemberSlot(2) ? stoppedAt : node.m_now) + workEnd);
        }
    }
}

// Guards against a node that joined after the stop request of a caller's node, got no notice of it and let its target run on (LOST).
TEST_CASE("A node that does not know of a stop is told with each request when the stopping node breaks it off", "[request]")
{
    RouterFixture stopping;
    stopping.m_ownership.setOwner(MemberSlot(2));
    stopping.ownershipChanged();
    stopping.arrive(requestWithin(5s, 1));
    CHECK_FALSE(stopping.only<ForwardRequest>().entryEndsIn);
    stopping.stop(stopLimit);
    stopping.tickAfter(1s);
    stopping.arrive(requestWithin(4s, 2));
    const std::optional<Duration> entryEndsIn = stopping.only<ForwardRequest>().entryEndsIn;
    CHECK(entryEndsIn == ownRequestsEnd - 1s);

    RouterFixture owner(true, 1);
    owner.m_router.setStopLimit(stopLimit);
    RequestArrived arrived = requestWithin(60s, 2, 1);
    arrived.entryEndsIn = entryEndsIn;
    arrived.entry = MemberSlot(2);
    const MonotonicTime receivedAt = owner.m_now;
    owner.arrive(arrived);
    CHECK(owner.all<SendToTarget>().empty());
    CHECK(owner.only<RefuseRequest>().outcome == Outcome::NotRun);
    arrived.timeout = 4s;
    owner.arrive(arrived);
    CHECK(owner.only<SendToTarget>().workEnd == receivedAt + *entryEndsIn - stopLimit / 20);
}

// Guards against targets that work on after a stopping node has answered, as the request was long on its way over full links (LOST).
TEST_CASE("The time at which a stopping node breaks a request off does not move with the time that the request is on its way", "[request]")
{
    RouterFixture stopping;
    stopping.m_ownership.setOwner(MemberSlot(2));
    stopping.ownershipChanged();
    const MonotonicTime breaksOffAt = stopping.m_now + ownRequestsEnd;
    stopping.stop(stopLimit);
    stopping.arrive(requestWithin(4s, 2));
    const ForwardRequest sent = stopping.only<ForwardRequest>();

    const auto arriveAt = [](RouterFixture &node, const ForwardRequest &forward) {
        RequestArrived arrived = requestWithin(4s, 2, forward.hops);
        arrived.entry = forward.entry;
        arrived.entryEndsIn = forward.entryEndsIn;
        arrived.entryEndsAt = forward.entryEndsAt;
        node.arrive(arrived);
    };
    RouterFixture former(true, 1);
    former.m_ownership.setOwner(MemberSlot(2));
    former.ownershipChanged();
    former.m_now = stopping.m_now + 340ms;
    arriveAt(former, sent);
    const ForwardRequest passedOn = former.only<ForwardRequest>();
    CHECK(passedOn.entryEndsAt == sent.entryEndsAt);

    RouterFixture owner(true, 1);
    owner.m_router.setStopLimit(stopLimit);
    owner.m_now = former.m_now + 330ms;
    arriveAt(owner, passedOn);
    CHECK(owner.only<SendToTarget>().workEnd == breaksOffAt - stopLimit / 20);
}

// Guards against targets that work on after a stopping node has answered, as its notice was long on its way over a full link (LOST).
TEST_CASE("The time that a stopping member states in its notice does not move with the time that the notice is on its way", "[request]")
{
    RouterFixture node(true, 1);
    node.m_router.setStopLimit(stopLimit);
    RequestArrived arrived = requestWithin(4s, 1, 1);
    arrived.entry = MemberSlot(2);
    const MonotonicTime breaksOffAt = node.m_now + ownRequestsEnd;
    node.m_now += 450ms;
    node.memberStops(MemberSlot(2), ownRequestsEnd, 450ms);
    node.arrive(arrived);
    CHECK(node.only<SendToTarget>().workEnd == breaksOffAt - stopLimit / 20);
}

// Guards against other nodes that do not recognise the requests of a stopping node once it has left the cell (LOST).
TEST_CASE("A stopping node that is not a member any more states the slot that it had", "[request]")
{
    RouterFixture node;
    node.m_ownership.setOwner(MemberSlot(2));
    node.ownershipChanged();
    node.stop(stopLimit);
    node.m_ownership.m_self = noMember;
    node.ownershipChanged();
    node.arrive(requestWithin(2s, 1));
    CHECK(node.only<ForwardRequest>().entry == MemberSlot(1));
}

TEST_CASE("Requests of a stopping member that wait for a slot are refused if they are not expected to end in time", "[request]")
{
    RouterFixture node(true, 1);
    node.m_router.setStopLimit(stopLimit);
    node.arrive(requestWithin(10s, 1));
    for (const MemberSlot entry : {MemberSlot(2), MemberSlot(3)}) {
        RequestArrived arrived = requestWithin(10s, entry.value(), 1);
        arrived.entry = entry;
        node.arrive(arrived);
    }
    node.memberStops(MemberSlot(2), ownRequestsEnd);
    const auto refused = node.only<RefuseRequest>();
    CHECK(refused.request == RequestId(2));
    CHECK(refused.outcome == Outcome::NotRun);
    CHECK(node.m_router.runningRequests() == 2);
}

TEST_CASE("A node that is told to stop refuses waiting requests that it may not begin, and lets the others wait", "[request]")
{
    RouterFixture node(true, 1);
    node.arrive(requestWithin(10s, 1));
    const AttemptId running = node.only<SendToTarget>().attempt;
    node.arrive(requestWithin(10s, 2));
    node.arrive(requestWithin(3s, 3));
    CHECK(node.m_router.runningRequests() == 3);
    node.stop(stopLimit);
    CHECK(node.all<CancelAttempt>().empty());
    const auto refused = node.only<RefuseRequest>();
    CHECK(refused.request == RequestId(2));
    CHECK(refused.outcome == Outcome::NotRun);
    node.answered(running);
    CHECK(node.only<SendToTarget>().request == RequestId(3));
}

TEST_CASE("A stopping node sends a request with an unknown outcome again only if its time limit ends in time", "[request]")
{
    for (const bool inTime : {false, true}) {
        RouterFixture node;
        node.arrive(requestWithin(inTime ? 4s : 10s, 1));
        const AttemptId attempt = node.only<SendToTarget>().attempt;
        node.stop(stopLimit);
        node.unknown(attempt);
        CHECK(node.all<SendToTarget>().size() == (inTime ? 1 : 0));
        CHECK(node.all<RefuseRequest>().size() == (inTime ? 0 : 1));
    }
}

TEST_CASE("A stopping node refuses a request of another node that may outlast its process", "[request]")
{
    RouterFixture node;
    node.stop(stopLimit);
    node.arrive(requestWithin(stopLimit, 1, 1));
    CHECK(node.only<RefuseRequest>().reason == NotRunReason::Stopping);
    node.arrive(requestWithin(ownRequestsEnd, 2, 1));
    CHECK(node.all<SendToTarget>().size() == 1);
}

// Guards against a node that ends, long before its own process ends, a request that another stopping node must not break off yet (LOST).
TEST_CASE("A stopping node lets requests of other nodes run until its process is about to end")
{
    CHECK(runAfterStops(0s) >= 5s);
    CHECK(runAfterStops(600ms) >= 5s);
}

// Guards against a read that is at work for longer than a stop waits when the stop request comes (review/4, LOST).
TEST_CASE("No target gets more time for an attempt than a stop that comes at its start would leave", "[request]")
{
    StopSchedule schedule;
    Request request;
    const MonotonicTime now(100s);
    for (const std::uint32_t hops : {0U, 1U}) {
        request.hops = hops;
        CHECK(schedule.workEnd(request, now) == MonotonicTime::max());
    }
    schedule.setLimit(stopLimit);
    for (const std::uint32_t hops : {0U, 1U}) {
        request.hops = hops;
        CHECK(schedule.workEnd(request, now) == now + workEnd);
    }
    schedule.stopRequested(now - 1s);
    request.hops = 0;
    CHECK(schedule.workEnd(request, now) == now - 1s + workEnd);
}

TEST_CASE("A read that its target did not end in its time is sent once more, to a replica that can end it in the rest", "[request]")
{
    for (const bool hasFaster : {false, true}) {
        RouterFixture node(false);
        node.m_router.setStopLimit(stopLimit);
        node.m_ownership.addMember(MemberSlot(3), "south");
        for (const auto &[slot, time] : {std::pair(1U, 1000ms), std::pair(2U, 1000ms), std::pair(3U, hasFaster ? 300ms : 1000ms)}) {
            MemberLoad load;
            load.slot = MemberSlot(slot);
            load.slots = 4;
            load.serviceTime = time;
            node.m_ownership.m_loads.push_back(load);
        }
        node.ownershipChanged();
        RequestArrived arrived = requestWithin(8s, 1);
        node.arrive(arrived);
        const AttemptId first = node.all<SendToTarget>().empty() ? node.only<ForwardRequest>().attempt : node.only<SendToTarget>().attempt;
        node.tickAfter(workEnd);
        node.finish(first, AttemptUnknown{.reason = AttemptUnknown::Reason::WorkTimeExpired, .status = 504});
        if (hasFaster) {
            const auto repeat = node.only<ForwardRequest>();
            CHECK(repeat.peer == node.m_ownership.member(MemberSlot(3))->peerEndpoint);
            CHECK(repeat.deadline == node.m_now + 8s - workEnd);
        } else {
            const auto refused = node.only<RefuseRequest>();
            CHECK(refused.status == 504);
            CHECK(refused.outcome == Outcome::Unknown);
        }
    }
}

TEST_CASE("A node tells the node that forwarded a request that its target did not end it in its time", "[request]")
{
    RouterFixture node(false);
    node.m_router.setStopLimit(stopLimit);
    node.arrive(requestWithin(8s, 1, 1));
    const auto sent = node.only<SendToTarget>();
    CHECK(sent.retriesExpiredWork);
    node.tickAfter(workEnd);
    node.finish(sent.attempt, AttemptUnknown{.reason = AttemptUnknown::Reason::WorkTimeExpired, .status = 504});
    const auto refused = node.only<RefuseRequest>();
    CHECK(refused.workTimeExpired);
    CHECK(refused.status == 504);
    RequestArrived once = RouterFixture::request(2, "POST");
    once.hops = 1;
    node.arrive(once);
    CHECK_FALSE(node.only<SendToTarget>().retriesExpiredWork);
}

// Guards against a request that is begun just before its node ends because its caller's objective has passed (review/4).
TEST_CASE("A stopping node expects a request to take as long as its route's objective, also if the caller has returned after a refusal", "[request]")
{
    StopSchedule schedule;
    schedule.setLimit(stopLimit);
    const MonotonicTime stoppedAt(100s);
    schedule.stopRequested(stoppedAt);
    Request request;
    request.arrivedAt = stoppedAt + 1s;
    request.objective = 1s;
    request.objectiveAt = request.arrivedAt - 500ms;
    request.deadline = stoppedAt + 20s;
    CHECK(schedule.mayBegin(request, stoppedAt + workEnd - 1s));
    CHECK_FALSE(schedule.mayBegin(request, stoppedAt + workEnd - 1s + 1ms));
    request.deadline = stoppedAt + workEnd;
    CHECK_FALSE(schedule.mayBegin(request, stoppedAt + workEnd));
}

// Guards against callers that find no connection while their node could still answer them.
TEST_CASE("A stopping node accepts callers until none has come for a second, or until it answers its callers itself", "[request]")
{
    StopSchedule schedule;
    const MonotonicTime stop(100s);
    CHECK(schedule.mayCloseToCallers(stop, stop));
    schedule.setLimit(stopLimit);
    schedule.stopRequested(stop);
    CHECK_FALSE(schedule.mayCloseToCallers(stop + 999ms, stop));
    CHECK(schedule.mayCloseToCallers(stop + 1s, stop));
    CHECK_FALSE(schedule.mayCloseToCallers(stop + 5s, stop + 4500ms));
    CHECK(schedule.mayCloseToCallers(stop + ownRequestsEnd, stop + ownRequestsEnd));
}

TEST_CASE("A stopping node announces the close at once, and closes to its callers after it has handed over and they have gone", "[request]")
{
    Timings timings;
    timings.stopLimit = stopLimit;
    Reducer reducer({.node = NodeName("a"), .startedAt = MonotonicTime(1s)}, timings);
    MonotonicTime now(2s);
    const auto apply = [&](EventBody body) { return reducer.apply(Event{now, WallTime(), std::move(body)}); };
    const auto closes = [](const Effects &effects, ListenerKind kind) {
        return std::ranges::any_of(effects, [&](const Effect &effect) {
            const auto *close = std::get_if<CloseListener>(&effect);
            return close && close->listener == kind;
        });
    };
    const Effects stopped = apply(StopRequested{});
    CHECK(std::ranges::any_of(stopped, [](const Effect &effect) { return std::holds_alternative<AnnounceClose>(effect); }));
    bool peersClosed = false;
    std::optional<MonotonicTime> callersClosedAt;
    const MonotonicTime lastArrival = now + 2s;
    for (const MonotonicTime end = now + stopLimit; now < end && !callersClosedAt; now += 10ms) {
        if (now <= lastArrival) {
            apply(requestWithin(1s, 1 + static_cast<std::uint64_t>(now.time_since_epoch().count())));
        }
        const Effects effects = apply(Tick{});
        peersClosed = peersClosed || closes(effects, ListenerKind::Peers);
        if (closes(effects, ListenerKind::Callers)) {
            callersClosedAt = now;
        }
    }
    CHECK(peersClosed);
    REQUIRE(callersClosedAt);
    CHECK(*callersClosedAt >= lastArrival + 1s);
    CHECK(*callersClosedAt <= lastArrival + 1s + 20ms);
}
