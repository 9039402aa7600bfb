#include "returnschedule.h"
#include "requestfixture.h"

#include <catch2/catch.hpp>

#include <set>

using namespace nutmeghinge;
using namespace nutmeghinge::test;
using namespace std::chrono_literals;

namespace {

const MonotonicTime start(100s);

} // namespace

TEST_CASE("Callers that are refused together are told times that follow each other at the pace of the room", "[load]")
{
    ReturnSchedule schedule;
    CHECK(schedule.next(start, 200ms, 25ms, 500ms) == 200ms);
    CHECK(schedule.next(start, 200ms, 25ms, 500ms) == 225ms);
    CHECK(schedule.next(start + 10ms, 200ms, 25ms, 500ms) == 240ms);
    CHECK(schedule.next(start + 5s, 200ms, 25ms, 500ms) == 200ms);
}

TEST_CASE("A caller is told a time at which it can still be served, or the time of the first room if that is too late for it", "[load]")
{
    ReturnSchedule schedule;
    CHECK(schedule.next(start, 900ms, 25ms, 500ms) == 900ms);
    for (int refusal = 0; refusal < 100; ++refusal) {
        CHECK(schedule.next(start, 100ms, 25ms, 500ms) <= 500ms);
    }
}

TEST_CASE("Requests that are refused together for a full queue get different times to come back", "[load]")
{
    RouterFixture fixture(false, 1);
    fixture.m_ownership.m_document->queue = 2;
    fixture.m_ownership.m_members.resize(1);
    fixture.m_ownership.m_members.front().service = ServiceName("roster");
    fixture.m_ownership.m_routes.emplace(std::vector<RequestRoute>());
    fixture.ownershipChanged();
    const auto arrive = [&](std::uint64_t id) {
        RequestArrived arrived = RouterFixture::request(id);
        arrived.timeout = 8s;
        arrived.routed = RoutedRequest{ServiceName("roster"), true, 1, 2s, 0};
        fixture.arrive(arrived);
    };
    arrive(100);
    const AttemptId first = fixture.only<SendToTarget>().attempt;
    fixture.m_now += 200ms;
    fixture.answered(first);
    std::set<Duration> times;
    std::size_t refused = 0;
    for (std::uint64_t id = 1; id <= 8; ++id) {
        arrive(id);
        for (const RefuseRequest &refusal : fixture.all<RefuseRequest>()) {
            ++refused;
            times.insert(refusal.retryAfter);
        }
    }
    REQUIRE(refused >= 3);
    CHECK(times.size() == refused);
}
