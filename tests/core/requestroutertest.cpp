#include "requestfixture.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace nutmeghinge::test;
using namespace std::chrono_literals;

TEST_CASE("A request for a key of this node is sent to the target with the shard's fence and answered", "[request]")
{
    RouterFixture node;
    node.arrive(RouterFixture::request(1));
    const auto sent = node.only<SendToTarget>();
    CHECK(sent.shard == shardOfHash(hashOfKey("crew-1"), node.m_ownership.m_map, 4));
    CHECK(sent.fence == node.m_ownership.m_map.version);
    CHECK(sent.endpoint.port == 9000);
    CHECK(sent.deadline == node.m_now + 2s);
    CHECK(node.m_router.blockingRequests(sent.shard) == 1);

    node.answering(sent.attempt);
    CHECK(node.m_router.blockingRequests(sent.shard) == 0);
    CHECK(node.m_router.runningRequests() == 1);
    node.answered(sent.attempt);
    CHECK(node.m_router.runningRequests() == 0);
    CHECK(node.m_router.counters().answered == 1);
}

TEST_CASE("The deadline of a request sent to the target is no later than the end of the lease", "[request]")
{
    RouterFixture node;
    node.m_ownership.m_workEndsBefore = node.m_now + 300ms;
    node.arrive(RouterFixture::request(1));
    CHECK(node.only<SendToTarget>().deadline == node.m_now + 300ms);
}

TEST_CASE("A request whose key another node owns is forwarded to that node", "[request]")
{
    RouterFixture node;
    node.m_ownership.setOwner(MemberSlot(2));
    RequestArrived request = RouterFixture::request(1);
    request.timeout = 700ms;
    node.arrive(request);
    const auto forwarded = node.only<ForwardRequest>();
    CHECK(forwarded.peer.address == "10.0.0.2");
    CHECK(forwarded.hops == 1);
    CHECK(forwarded.deadline == node.m_now + 700ms);
}

TEST_CASE("A forwarded request is refused by a node that does not own its key", "[request]")
{
    RouterFixture node;
    node.m_ownership.setOwner(MemberSlot(1), ShardOwnership::State::Releasing);
    RequestArrived request = RouterFixture::request(1);
    request.hops = 1;
    node.arrive(request);
    const auto refusal = node.only<RefuseRequest>();
    CHECK(refusal.reason == NotRunReason::NotOwner);
    CHECK(refusal.outcome == Outcome::NotRun);

    node.m_ownership.setOwner(MemberSlot(2));
    request.request = RequestId(2);
    node.arrive(request);
    CHECK(node.only<ForwardRequest>().hops == 2);
    request.request = RequestId(3);
    request.hops = 2;
    node.arrive(request);
    CHECK(node.only<RefuseRequest>().reason == NotRunReason::NotOwner);
}

TEST_CASE("Invalid requests are refused before they are routed", "[request]")
{
    RouterFixture node;
    RequestArrived request = RouterFixture::request(1);
    const auto statusOf = [&] { return node.only<RefuseRequest>().status; };
    SECTION("unknown host")
    {
        request.host = "nowhere.example";
        node.arrive(request);
        CHECK(statusOf() == 404);
    }
    SECTION("no key header")
    {
        request.headers.clear();
        node.arrive(request);
        CHECK(statusOf() == 400);
    }
    SECTION("body larger than the limit")
    {
        request.bodySize = node.m_ownership.m_document->requestBodyLimit + 1;
        node.arrive(request);
        CHECK(statusOf() == 413);
    }
    SECTION("stopped service")
    {
        node.m_ownership.m_document->stop = WallTime(1s);
        node.arrive(request);
        CHECK(statusOf() == 410);
    }
    SECTION("no document")
    {
        node.m_ownership.m_document.reset();
        node.arrive(request);
        CHECK(statusOf() == 503);
        CHECK(node.only<RefuseRequest>().retryAfter > Duration(0));
    }
    CHECK(node.only<RefuseRequest>().outcome == Outcome::NotRun);
    CHECK(node.m_router.runningRequests() == 0);
}

TEST_CASE("A request for another service is forwarded to a member of that service's cell", "[request]")
{
    RouterFixture node;
    Member member;
    member.slot = MemberSlot(9);
    member.peerEndpoint = Endpoint{"10.1.0.9", 8000};
    node.m_ownership.m_otherCell.members = {member};
    RequestArrived request = RouterFixture::request(1);
    request.host = "other.example";
    node.arrive(request);
    CHECK(node.only<ForwardRequest>().peer == member.peerEndpoint);
}
