#include "requestfixture.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace nutmeghinge::test;
using namespace std::chrono_literals;

TEST_CASE("A non-idempotent request with an unknown outcome is not sent again", "[request]")
{
    RouterFixture node;
    node.arrive(RouterFixture::request(1, "POST"));
    node.unknown(node.only<SendToTarget>().attempt);
    CHECK(node.all<SendToTarget>().empty());
    const auto refusal = node.only<RefuseRequest>();
    CHECK(refusal.status == 502);
    CHECK(refusal.outcome == Outcome::Unknown);

    node.arrive(RouterFixture::request(2, "POST"));
    node.unknown(node.only<SendToTarget>().attempt, AttemptUnknown::Reason::DeadlineExpired);
    CHECK(node.only<RefuseRequest>().status == 504);
}

TEST_CASE("An idempotent request with an unknown outcome is sent again on a new connection", "[request]")
{
    RouterFixture node;
    node.arrive(RouterFixture::request(1, "GET"));
    CHECK_FALSE(node.only<SendToTarget>().freshConnection);
    node.unknown(node.only<SendToTarget>().attempt, AttemptUnknown::Reason::NoProgress);
    const auto again = node.only<SendToTarget>();
    CHECK(again.freshConnection);

    // The outcome stays unknown even though the second attempt was not run.
    node.m_now += 10s;
    node.notRun(again.attempt, NotRunReason::Overloaded);
    CHECK(node.only<RefuseRequest>().outcome == Outcome::Unknown);
}

TEST_CASE("A request whose answer was truncated is neither sent again nor refused", "[request]")
{
    RouterFixture node;
    node.arrive(RouterFixture::request(1, "GET"));
    const AttemptId attempt = node.only<SendToTarget>().attempt;
    node.answering(attempt);
    node.unknown(attempt, AttemptUnknown::Reason::TruncatedAnswer, true);
    CHECK(node.all<SendToTarget>().empty());
    CHECK(node.all<RefuseRequest>().empty());
    CHECK(node.m_router.runningRequests() == 0);
}

TEST_CASE("A request that was not run is sent again on a new connection, even if it is not idempotent", "[request]")
{
    RouterFixture node;
    node.arrive(RouterFixture::request(1, "POST"));
    node.notRun(node.only<SendToTarget>().attempt, NotRunReason::NotConnected);
    CHECK(node.only<SendToTarget>().freshConnection);
}

TEST_CASE("Retries stay within the budget", "[request]")
{
    constexpr std::uint64_t requests = 1000;
    RouterFixture node;
    std::uint64_t sent = 0;
    for (std::uint64_t id = 1; id <= requests; ++id) {
        node.arrive(RouterFixture::request(id));
        while (!node.all<SendToTarget>().empty()) {
            ++sent;
            node.unknown(node.only<SendToTarget>().attempt);
        }
        node.tickAfter(100ms);
        for (auto retried = node.all<SendToTarget>(); !retried.empty(); retried = node.all<SendToTarget>()) {
            ++sent;
            node.unknown(retried.front().attempt);
        }
    }
    constexpr std::uint64_t initialBudget = 10;
    CHECK(sent >= requests);
    CHECK(sent <= requests + requests / 10 + initialBudget);
    CHECK(node.m_router.counters().retriesDenied > 0);
}

TEST_CASE("A request refused by a former owner waits for the new owner without charging the retry budget", "[request]")
{
    RouterFixture node;
    node.m_ownership.m_document->retryPercent = 0;
    node.m_ownership.setOwner(MemberSlot(2));
    node.ownershipChanged();
    for (std::uint64_t id = 1; id <= 20; ++id) {
        node.arrive(RouterFixture::request(id, "POST"));
        node.notRun(node.only<ForwardRequest>().attempt, NotRunReason::NotOwner);
        CHECK(node.all<ForwardRequest>().empty());
    }
    node.ownershipChanged();
    CHECK(node.all<ForwardRequest>().empty());

    SECTION("the map has a new owner")
    {
        node.m_ownership.addMember(MemberSlot(3), "east");
        node.m_ownership.setOwner(MemberSlot(3));
        node.ownershipChanged();
        const auto forwarded = node.all<ForwardRequest>();
        REQUIRE(forwarded.size() == 20);
        CHECK(forwarded.front().peer.address == "10.0.0.3");
    }
    SECTION("the map does not change: the request is sent to the same owner after a short delay")
    {
        node.tickAfter(20ms);
        CHECK(node.all<ForwardRequest>().size() == 20);
    }
    SECTION("this node becomes the owner")
    {
        node.m_ownership.setOwner(MemberSlot(1));
        node.ownershipChanged();
        CHECK(node.all<SendToTarget>().size() == 4);
        CHECK(node.m_router.counters().queued == 16);
    }
}

TEST_CASE("Requests for a shard without an owner wait in a bounded queue until it has one", "[request]")
{
    RouterFixture node;
    node.m_ownership.m_document->queue = 2;
    node.m_ownership.setOwner(noMember, ShardOwnership::State::Unowned);
    node.ownershipChanged();
    RequestArrived request = RouterFixture::request(1);
    request.timeout = 500ms;
    node.arrive(request);
    CHECK(node.all<RefuseRequest>().empty());
    node.arrive(RouterFixture::request(2));
    node.arrive(RouterFixture::request(3));
    CHECK(node.only<RefuseRequest>().retryAfter > Duration(0));

    node.tickAfter(500ms);
    CHECK(node.only<RefuseRequest>().request == RequestId(1));
    CHECK(node.only<RefuseRequest>().outcome == Outcome::NotRun);
    node.m_ownership.setOwner(MemberSlot(2));
    node.ownershipChanged();
    CHECK(node.only<ForwardRequest>().request == RequestId(2));
}

TEST_CASE("A safe request at a former owner is cancelled and sent to the new owner", "[request]")
{
    RouterFixture node;
    node.m_ownership.addMember(MemberSlot(3), "east");
    node.m_ownership.setOwner(MemberSlot(2));
    node.ownershipChanged();
    node.arrive(RouterFixture::request(1, "GET"));
    const auto lost = node.only<ForwardRequest>();
    node.arrive(RouterFixture::request(2, "POST"));

    node.m_ownership.setOwner(MemberSlot(3));
    node.ownershipChanged();
    CHECK(node.only<CancelAttempt>().attempt == lost.attempt);
    node.unknown(lost.attempt);
    CHECK(node.only<ForwardRequest>().peer.address == "10.0.0.3");
}

// Guards against a read that is broken off at a target that is at work, and then finds no room at the new owner (LOST).
TEST_CASE("A safe request at an owner that hands its key over is left to that owner", "[request]")
{
    RouterFixture node;
    node.m_ownership.addMember(MemberSlot(3), "east");
    node.m_ownership.setOwner(MemberSlot(2));
    node.ownershipChanged();
    node.arrive(RouterFixture::request(1, "GET"));
    const AttemptId first = node.only<ForwardRequest>().attempt;
    node.m_ownership.setOwner(MemberSlot(2), ShardOwnership::State::Releasing);
    node.ownershipChanged();
    node.m_ownership.setOwner(MemberSlot(3));
    node.ownershipChanged();
    CHECK(node.all<CancelAttempt>().empty());

    SECTION("it answers")
    {
        node.answered(first);
        CHECK(node.m_router.runningRequests() == 0);
    }
    SECTION("it refuses what waited there")
    {
        node.notRun(first, NotRunReason::NotOwner);
        node.tickAfter(20ms);
        CHECK(node.only<ForwardRequest>().peer.address == "10.0.0.3");
    }
}

TEST_CASE("The status of the owner's refusal of an invalid request is passed on to the caller", "[request]")
{
    RouterFixture node;
    node.m_ownership.setOwner(MemberSlot(2));
    node.arrive(RouterFixture::request(1, "POST", "a"));
    AttemptNotRun result;
    result.reason = NotRunReason::BadRequest;
    result.status = 422;
    node.finish(node.only<ForwardRequest>().attempt, result);
    CHECK(node.only<RefuseRequest>().status == 422);
}
