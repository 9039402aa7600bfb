#include "rankedqueue.h"
#include "requestfixture.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace nutmeghinge::test;
using namespace std::chrono_literals;

namespace {

MonotonicTime at(Duration time)
{
    return MonotonicTime(time);
}

/** Creates a request that another node has matched to a route and forwarded to the service of this node's target. */
RequestArrived routed(std::uint64_t id, Duration objective, Duration timeout, std::uint32_t priority = 1, bool repeatable = true)
{
    RequestArrived arrived = RouterFixture::request(id, repeatable ? "GET" : "POST");
    arrived.hops = 1;
    arrived.timeout = timeout;
    arrived.routed = RoutedRequest{ServiceName("roster"), repeatable, priority, objective, 7};
    return arrived;
}

/** A router whose document has routes, and a target with one slot that takes 100 ms per request. */
struct RoutedFixture : RouterFixture {
    RoutedFixture()
        : RouterFixture(false, 1)
    {
        m_ownership.m_routes.emplace(std::vector<RequestRoute>());
        arrive(routed(1, 10s, 10s));
        const AttemptId attempt = only<SendToTarget>().attempt;
        m_now += 100ms;
        answered(attempt);
        arrive(routed(2, 10s, 10s));
        running = only<SendToTarget>().attempt;
    }

    /** Ends the running request and returns the one that is sent next. */
    RequestId finishAndGetNext()
    {
        m_now += 100ms;
        answered(running);
        const SendToTarget sent = only<SendToTarget>();
        running = sent.attempt;
        return sent.request;
    }

    AttemptId running;
};

} // namespace

TEST_CASE("The queue is ordered by lateness, priority and end of the objective")
{
    RankedQueue queue;
    queue.push(RequestId(1), {true, 0, at(1s), 1}, 10ms);
    queue.push(RequestId(2), {false, 2, at(1s), 2}, 10ms);
    queue.push(RequestId(3), {false, 1, at(3s), 3}, 10ms);
    queue.push(RequestId(4), {false, 1, at(2s), 4}, 10ms);
    CHECK(queue.workBefore({false, 2, at(0s), 0}) == 20ms);
    CHECK(queue.work() == 40ms);
    CHECK(queue.takeAll() == std::vector<RequestId>{RequestId(4), RequestId(3), RequestId(2), RequestId(1)});
    CHECK(queue.work() == 0ms);
}

TEST_CASE("An idle connection of a routed request is allowed until the deadline, because the request may wait in a queue")
{
    RouterFixture fixture(false, 1);
    fixture.m_ownership.m_routes.emplace(std::vector<RequestRoute>());
    fixture.arrive(routed(1, 10s, 10s));
    CHECK(fixture.only<SendToTarget>().mayBeIdle);
    RouterFixture without(false, 1);
    without.arrive(RouterFixture::request(2));
    CHECK_FALSE(without.only<SendToTarget>().mayBeIdle);
}

TEST_CASE("Queued requests are sent by priority, then by earliest end of the objective")
{
    RoutedFixture fixture;
    fixture.arrive(routed(10, 2s, 8s));
    fixture.arrive(routed(11, 1s, 8s));
    fixture.arrive(routed(12, 3s, 8s, 0));
    CHECK(fixture.finishAndGetNext() == RequestId(12));
    CHECK(fixture.finishAndGetNext() == RequestId(11));
    CHECK(fixture.finishAndGetNext() == RequestId(10));
}

TEST_CASE("A request that will miss its objective and its deadline is refused immediately with a time to retry")
{
    RoutedFixture fixture;
    for (std::uint64_t id = 10; id < 14; ++id) {
        fixture.arrive(routed(id, 2s, 8s));
        CHECK(fixture.all<RefuseRequest>().empty());
    }
    fixture.arrive(routed(20, 300ms, 500ms, 2));
    const RefuseRequest refusal = fixture.only<RefuseRequest>();
    CHECK(refusal.status == 503);
    CHECK(refusal.outcome == Outcome::NotRun);
    CHECK(refusal.retryAfter >= 400ms);
}

TEST_CASE("A late request with enough time until its deadline is served after those that are in time")
{
    RoutedFixture fixture;
    fixture.arrive(routed(10, 2s, 8s));
    fixture.arrive(routed(11, 150ms, 8s));
    CHECK(fixture.all<RefuseRequest>().empty());
    fixture.arrive(routed(12, 2s, 8s));
    CHECK(fixture.finishAndGetNext() == RequestId(10));
    CHECK(fixture.finishAndGetNext() == RequestId(12));
    CHECK(fixture.finishAndGetNext() == RequestId(11));
}

TEST_CASE("A routed request is refused after four seconds in the queue, so that a stopping node can answer it in time")
{
    RoutedFixture fixture;
    fixture.arrive(routed(10, 20s, 30s));
    CHECK(fixture.tickAfter(3900ms).empty());
    fixture.tickAfter(200ms);
    CHECK(fixture.only<RefuseRequest>().request == RequestId(10));
}

TEST_CASE("At twice the capacity, most of the served requests meet their objective")
{
    // 20 requests per second of 100 ms each for one slot, objective 600 ms, deadline 1.5 s: in FIFO order nearly all would be late.
    RoutedFixture fixture;
    std::map<RequestId, MonotonicTime> arrivedAt;
    int inTime = 0;
    int late = 0;
    std::uint64_t id = 100;
    const auto finishRunning = [&](std::optional<RequestId> request) {
        fixture.answered(fixture.running);
        if (request) {
            const bool met = fixture.m_now - arrivedAt.at(*request) <= 600ms;
            ++(met ? inTime : late);
        }
        for (const SendToTarget &sent : fixture.all<SendToTarget>()) {
            fixture.running = sent.attempt;
            return std::optional(sent.request);
        }
        return std::optional<RequestId>();
    };
    std::optional<RequestId> current;
    for (int step = 0; step < 400; ++step) {
        fixture.m_now += 50ms;
        ++id;
        arrivedAt[RequestId(id)] = fixture.m_now;
        fixture.arrive(routed(id, 600ms, 1500ms));
        if (step % 2 == 1) {
            current = finishRunning(current);
        }
        fixture.tickAfter(0ms);
    }
    CHECK(inTime >= 170);
    CHECK(late <= 20);
}

TEST_CASE("A cancelled request is also cancelled at the node it was forwarded to, even if it is not idempotent")
{
    RouterFixture fixture;
    fixture.m_ownership.setOwner(MemberSlot(2));
    fixture.ownershipChanged();
    fixture.arrive(RouterFixture::request(5, "POST"));
    const AttemptId attempt = fixture.only<ForwardRequest>().attempt;
    fixture.cancel(5);
    CHECK(fixture.only<CancelAttempt>().attempt == attempt);
}

TEST_CASE("Requests of a service that is not sharded do not count as load of a shard")
{
    RoutedFixture fixture;
    CHECK(fixture.m_router.takeLoad(fixture.m_now + 1s).shards.empty());
}
