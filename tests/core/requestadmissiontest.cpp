#include "requestfixture.h"
#include "targethealth.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace nutmeghinge::test;
using namespace std::chrono_literals;

namespace {

/** Fills the target's slots with requests whose ids start at firstId. */
std::vector<AttemptId> fillSlots(RouterFixture &node, std::uint64_t firstId, std::uint32_t slots, const std::string &method = "GET")
{
    std::vector<AttemptId> attempts;
    for (std::uint32_t i = 0; i < slots; ++i) {
        node.arrive(RouterFixture::request(firstId + i, method));
        attempts.push_back(node.only<SendToTarget>().attempt);
    }
    return attempts;
}

} // namespace

TEST_CASE("Requests queue in FIFO order when the target's slots are in use, and are refused when the queue is full", "[request]")
{
    RouterFixture node;
    node.m_ownership.m_document->queue = 2;
    const auto running = fillSlots(node, 1, 4);
    node.arrive(RouterFixture::request(5));
    CHECK(node.all<SendToTarget>().empty());
    node.arrive(RouterFixture::request(6));
    node.arrive(RouterFixture::request(7));
    const auto refusal = node.only<RefuseRequest>();
    CHECK(refusal.status == 503);
    CHECK(refusal.reason == NotRunReason::Overloaded);
    CHECK(refusal.retryAfter > Duration(0));

    node.m_now += 10ms;
    node.answered(running.front());
    CHECK(node.only<SendToTarget>().request == RequestId(5));
}

TEST_CASE("A request that cannot be sent before its deadline is refused immediately", "[request]")
{
    RouterFixture node;
    auto running = fillSlots(node, 1, 4);
    node.m_now += 100ms;
    node.answered(running.back());
    node.arrive(RouterFixture::request(5));
    RequestArrived request = RouterFixture::request(6);
    request.timeout = 110ms;
    node.arrive(request);
    CHECK(node.only<RefuseRequest>().outcome == Outcome::NotRun);
    request.request = RequestId(7);
    request.timeout = 1s;
    node.arrive(request);
    CHECK(node.all<RefuseRequest>().empty());
}

TEST_CASE("A request that is still queued at its deadline is refused as not run", "[request]")
{
    RouterFixture node;
    fillSlots(node, 1, 4);
    RequestArrived request = RouterFixture::request(5, "POST");
    request.timeout = 200ms;
    node.arrive(request);
    node.tickAfter(200ms);
    const auto refusal = node.only<RefuseRequest>();
    CHECK(refusal.request == RequestId(5));
    CHECK(refusal.status == 503);
    CHECK(refusal.outcome == Outcome::NotRun);
}

TEST_CASE("Queued requests are not sent to the target after the shard has left this node", "[request]")
{
    RouterFixture node;
    const auto running = fillSlots(node, 1, 4);
    node.arrive(RouterFixture::request(5, "POST"));
    SECTION("the lease has expired: nothing is sent")
    {
        node.m_ownership.m_leaseValid = false;
        node.answered(running.front());
        CHECK(node.all<SendToTarget>().empty());
    }
    SECTION("another member owns the shard: the request is forwarded")
    {
        node.m_ownership.setOwner(MemberSlot(2));
        node.ownershipChanged();
        CHECK(node.only<ForwardRequest>().request == RequestId(5));
    }
}

TEST_CASE("A cancelled request occupies its slot until its attempt has ended", "[request]")
{
    RouterFixture node;
    const auto safe = fillSlots(node, 1, 2, "GET");
    const auto unsafe = fillSlots(node, 3, 2, "POST");
    node.arrive(RouterFixture::request(5));
    node.cancel(1);
    CHECK(node.only<CancelAttempt>().attempt == safe.front());
    CHECK(node.only<Record>().record.kind == TimelineRecord::Kind::RequestCancelled);
    CHECK(node.all<SendToTarget>().empty());
    node.cancel(3);
    CHECK(node.all<CancelAttempt>().empty());
    CHECK(node.m_router.counters().inFlight == 4);

    node.unknown(safe.front());
    CHECK(node.all<RefuseRequest>().empty());
    CHECK(node.only<SendToTarget>().request == RequestId(5));
    node.answered(unsafe.front());
    CHECK(node.m_router.runningRequests() == 3);
}

TEST_CASE("A new target receives its full number of concurrent requests only after the slow start", "[request]")
{
    RouterFixture node(true, 20);
    node.m_ownership.m_document->slowStart = 10s;
    node.announce(20, 2);
    const auto admitted = [&](std::uint64_t firstId) {
        std::vector<AttemptId> attempts;
        for (std::uint64_t id = firstId; id < firstId + 30; ++id) {
            node.arrive(RouterFixture::request(id));
            for (const auto &sent : node.all<SendToTarget>()) {
                attempts.push_back(sent.attempt);
            }
        }
        for (std::uint64_t id = firstId; id < firstId + 30; ++id) {
            node.cancel(id);
        }
        for (const AttemptId attempt : attempts) {
            node.answered(attempt);
        }
        return attempts.size();
    };
    CHECK(admitted(100) == 5);
    node.m_now += 2s;
    node.announce(20, 2);
    CHECK(admitted(200) == 8);
    node.m_now += 8s;
    node.announce(20, 2);
    CHECK(admitted(300) == 20);
    node.announce(20, 3);
    CHECK(admitted(400) == 5);
}

TEST_CASE("The target's reports lose weight with age and when answers contradict them", "[request]")
{
    TargetAnnounced announced;
    announced.slots = 10;
    MonotonicTime now{100s};
    TargetHealth health;
    health.announced(announced, now);
    CHECK(health.limit(now, Duration(0)) == 10);

    SECTION("a reported load lowers the limit, less so with its age")
    {
        health.probed({true, 4}, 0, now);
        CHECK(health.limit(now, Duration(0)) == 6);
        CHECK(health.limit(now + 2s, Duration(0)) == 8);
    }
    SECTION("reports that repeatedly contradict the known load are ignored")
    {
        for (int i = 0; i < 20; ++i) {
            health.probed({true, 1000}, 0, now);
        }
        CHECK(health.limit(now, Duration(0)) >= 9);
    }
    SECTION("a target reported as unhealthy receives one request at a time")
    {
        health.probed({false, std::nullopt}, 0, now);
        CHECK(health.limit(now, Duration(0)) == 1);
        health.answered(now);
        CHECK(health.isHealthy(now));
        health.answered(now);
        health.probed({false, std::nullopt}, 0, now);
        health.answered(now);
        health.probed({false, std::nullopt}, 0, now);
        CHECK(health.isHealthy(now));
    }
    SECTION("refusals by the target lower the limit, answers raise it")
    {
        health.refusedAsFull(6);
        CHECK(health.limit(now, Duration(0)) == 4);
        for (int i = 0; i < 100; ++i) {
            health.answered(now);
        }
        CHECK(health.limit(now, Duration(0)) == 10);
    }
    SECTION("missing announcements or consecutive failed attempts make the target unhealthy")
    {
        CHECK_FALSE(health.isHealthy(now + 4s));
        for (int i = 0; i < 3; ++i) {
            health.failed(now);
        }
        CHECK_FALSE(health.isHealthy(now));
    }
}

TEST_CASE("Requests forwarded to other nodes do not count as load of the target", "[request]")
{
    RouterFixture node;
    fillSlots(node, 1, 4);
    node.arrive(RouterFixture::request(5));
    CHECK(node.m_router.targetRequests() == 5);
    node.m_ownership.setOwner(MemberSlot(2));
    node.ownershipChanged();
    CHECK(node.m_router.targetRequests() == 4);
    CHECK(node.m_router.runningRequests() == 5);
}

TEST_CASE("The load report contains the request rate of each shard and the most frequent keys", "[request]")
{
    RouterFixture node(true, 100);
    node.tickAfter(0ms);
    for (std::uint64_t id = 1; id <= 500; ++id) {
        RequestArrived request = RouterFixture::request(id);
        if (id % 2 == 0) {
            request.headers.front().second = "crew-" + std::to_string(1000 + id);
        }
        node.arrive(request);
        for (const auto &sent : node.all<SendToTarget>()) {
            node.answered(sent.attempt);
        }
    }
    const MemberLoad load = node.m_router.takeLoad(node.m_now + 500ms);
    CHECK(load.slots == 100);
    CHECK(load.healthy);
    std::uint64_t total = 0;
    for (const ShardLoad &shard : load.shards) {
        total += shard.milliRequestsPerSecond;
    }
    CHECK(total == 1000000);
    REQUIRE_FALSE(load.heavyKeys.empty());
    CHECK(load.heavyKeys.front() == KeyLoad{hashOfKey("crew-1"), 500000});
    CHECK(node.m_router.takeLoad(node.m_now + 1s).shards.empty());
}

// Guards against a request that a busy node sends on to a target although its caller has gone (GONE).
TEST_CASE("Nothing is sent for a request that a late node reads when its caller may have left", "[request]")
{
    RouterFixture node;
    RequestArrived arrived = RouterFixture::request(1);
    arrived.timeout = std::chrono::seconds(2);
    arrived.waited = std::chrono::milliseconds(800);
    node.arrive(arrived);
    // Its answer is passed on for as long as the caller may be there.
    CHECK(node.only<SendToTarget>().deadline == node.m_now + std::chrono::seconds(2));
    for (const bool relayed : {false, true}) {
        arrived.request = RequestId(relayed ? 3 : 2);
        arrived.waited = std::chrono::milliseconds(relayed ? 900 : 2100);
        arrived.waitedBefore = std::chrono::milliseconds(relayed ? 1200 : 0);
        node.arrive(arrived);
        CHECK(node.all<SendToTarget>().empty());
        CHECK(node.only<RefuseRequest>().outcome == Outcome::NotRun);
    }
}
