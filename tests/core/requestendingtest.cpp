#include "requestfixture.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace nutmeghinge::test;

namespace {

void endRequests(RouterFixture &fixture)
{
    EffectList effects{HybridTime{}};
    fixture.m_router.endRequests(Event{fixture.m_now, WallTime(), Tick{}}, effects);
    fixture.m_effects = effects.take();
}

} // namespace

TEST_CASE("A terminating node refuses a forwarded request whose peer has not answered, and does not send it again")
{
    RouterFixture fixture;
    fixture.m_ownership.setOwner(MemberSlot(2));
    fixture.ownershipChanged();
    fixture.arrive(RouterFixture::request(1));
    const AttemptId attempt = fixture.only<ForwardRequest>().attempt;
    endRequests(fixture);
    CHECK(fixture.only<CancelAttempt>().attempt == attempt);
    fixture.unknown(attempt);
    CHECK(fixture.all<ForwardRequest>().empty());
    const auto refused = fixture.only<RefuseRequest>();
    CHECK(refused.request == RequestId(1));
    CHECK(refused.status == 502);
    CHECK(refused.outcome == Outcome::Unknown);
    CHECK(fixture.m_router.runningRequests() == 0);
}

TEST_CASE("A terminating node refuses queued and new requests as not run")
{
    RouterFixture fixture(true, 1);
    fixture.arrive(RouterFixture::request(1));
    const AttemptId running = fixture.only<SendToTarget>().attempt;
    fixture.arrive(RouterFixture::request(2, "POST"));
    CHECK(fixture.m_router.runningRequests() == 2);
    endRequests(fixture);
    CHECK(fixture.only<CancelAttempt>().attempt == running);
    const auto refused = fixture.only<RefuseRequest>();
    CHECK(refused.request == RequestId(2));
    CHECK(refused.outcome == Outcome::NotRun);
    CHECK(refused.reason == NotRunReason::Stopping);
    CHECK(refused.status == 503);
    fixture.arrive(RouterFixture::request(3));
    CHECK(fixture.only<RefuseRequest>().request == RequestId(3));
    CHECK(fixture.all<SendToTarget>().empty());
}

// Guards against a refusal that says "not run" although the request may run.
TEST_CASE("A terminating node does not say that a request has not run while another with its Idempotency-Key runs")
{
    RouterFixture fixture;
    fixture.arrive(RouterFixture::request(1, "POST", "a"));
    const AttemptId attempt = fixture.only<SendToTarget>().attempt;
    fixture.arrive(RouterFixture::request(2, "POST", "a"));
    CHECK(fixture.all<SendToTarget>().empty());
    endRequests(fixture);
    CHECK(fixture.only<CancelAttempt>().attempt == attempt);
    const auto refused = fixture.only<RefuseRequest>();
    CHECK(refused.request == RequestId(2));
    CHECK(refused.outcome == Outcome::Unknown);
    CHECK(refused.status == 502);
}

TEST_CASE("A stopping node does not cancel a forwarded request when the key moves, because the former owner may be processing it")
{
    for (const bool stops : {false, true}) {
        RouterFixture fixture;
        fixture.m_ownership.addMember(MemberSlot(3), "south");
        fixture.m_ownership.setOwner(MemberSlot(2));
        fixture.ownershipChanged();
        fixture.arrive(RouterFixture::request(1));
        const AttemptId attempt = fixture.only<ForwardRequest>().attempt;
        if (stops) {
            EffectList effects{HybridTime{}};
            fixture.m_router.stop(Event{fixture.m_now, WallTime(), StopRequested{}}, effects);
        }
        fixture.m_ownership.setOwner(MemberSlot(3));
        fixture.ownershipChanged();
        CHECK(fixture.all<CancelAttempt>().size() == (stops ? 0 : 1));
        fixture.answered(attempt);
        CHECK(fixture.m_router.runningRequests() == 0);
    }
}

TEST_CASE("A terminating node does not cancel a request whose answer has begun to arrive")
{
    RouterFixture fixture;
    fixture.arrive(RouterFixture::request(1));
    const AttemptId attempt = fixture.only<SendToTarget>().attempt;
    fixture.answering(attempt);
    endRequests(fixture);
    CHECK(fixture.all<CancelAttempt>().empty());
    fixture.answered(attempt);
    CHECK(fixture.m_router.runningRequests() == 0);
}

// Guards against an answer in a target's place that nobody can explain, or count, afterwards (review/4).
TEST_CASE("An answer in a target's place states why, where and after what time, and is counted until the node has stopped")
{
    RouterFixture fixture;
    fixture.m_ownership.setOwner(MemberSlot(2));
    fixture.ownershipChanged();
    fixture.arrive(RouterFixture::request(1, "POST"));
    fixture.unknown(fixture.only<ForwardRequest>().attempt);
    CHECK(fixture.only<RefuseRequest>().unknownCause == UnknownCause::ConnectionLost);
    fixture.stop(std::chrono::seconds(7));
    CHECK(fixture.m_router.unknownSinceStop() == "none");
    RequestArrived arrived = RouterFixture::request(2, "POST");
    arrived.timeout = std::chrono::seconds(2);

    SECTION("as the other node reports")
    {
        fixture.arrive(arrived);
        const AttemptId attempt = fixture.only<ForwardRequest>().attempt;
        fixture.m_now += std::chrono::milliseconds(340);
        AttemptUnknown result;
        result.reason = AttemptUnknown::Reason::PeerUnknown;
        result.peerCause = UnknownCause::LeaseEnded;
        fixture.finish(attempt, result);
        CHECK(fixture.only<RefuseRequest>().unknownCause == UnknownCause::LeaseEnded);
        const std::string &detail = fixture.only<Record>().record.detail;
        CHECK(detail.ends_with("lease-ended reported by member 2, 340 ms after it was sent and 340 ms after the request arrived"));
        CHECK(fixture.m_router.unknownSinceStop() == "1 lease-ended");
    }
    SECTION("as this node broke it off")
    {
        fixture.arrive(arrived);
        const AttemptId attempt = fixture.only<ForwardRequest>().attempt;
        endRequests(fixture);
        fixture.unknown(attempt, AttemptUnknown::Reason::Cancelled);
        CHECK(fixture.m_router.unknownSinceStop() == "1 broken-off");
    }
    SECTION("unless it goes to another node, which counts it")
    {
        fixture.m_ownership.setOwner(MemberSlot(1));
        fixture.m_ownership.m_workEndsBefore = fixture.m_now + std::chrono::milliseconds(500);
        fixture.ownershipChanged();
        arrived.hops = 1;
        fixture.arrive(arrived);
        fixture.unknown(fixture.only<SendToTarget>().attempt, AttemptUnknown::Reason::DeadlineExpired);
        CHECK(fixture.only<RefuseRequest>().unknownCause == UnknownCause::LeaseEnded);
        CHECK(fixture.m_router.unknownSinceStop() == "none");
    }
}

TEST_CASE("Forwards that are given up because the owners of their keys were lost are counted and recorded")
{
    RouterFixture fixture;
    fixture.m_ownership.addMember(MemberSlot(3), "north");
    fixture.m_ownership.setOwner(MemberSlot(2));
    fixture.ownershipChanged();
    for (std::uint64_t id = 1; id <= 3; ++id) {
        fixture.arrive(RouterFixture::request(id));
    }
    fixture.m_ownership.setOwner(MemberSlot(3));
    fixture.ownershipChanged();
    CHECK(fixture.all<CancelAttempt>().size() == 3);
    CHECK(fixture.only<Record>().record.kind == TimelineRecord::Kind::ForwardsCancelled);
    CHECK(fixture.m_router.counters().forwardsCancelled == 3);
}
