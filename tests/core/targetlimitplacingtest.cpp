#include "requestfixture.h"

#include <catch2/catch.hpp>

#include <set>

using namespace nutmeghinge;
using namespace nutmeghinge::test;
using namespace std::chrono_literals;

namespace {

TargetStatement limitOf(double rate)
{
    TargetStatement statement;
    statement.limit = RequestRate(rate);
    return statement;
}

/** Serves one request that takes the given time, so that the node knows how long its target takes. */
void serveOne(RouterFixture &node, std::uint64_t id, Duration time)
{
    node.arrive(RouterFixture::request(id));
    const AttemptId attempt = node.only<SendToTarget>().attempt;
    node.m_now += time;
    node.answered(attempt);
}

} // namespace

TEST_CASE("A node reports only the slots that its target's limit keeps busy", "[limit]")
{
    RouterFixture node(true, 9);
    CHECK(node.m_router.takeLoad(node.m_now).slots == 9);
    serveOne(node, 1, 200ms);
    node.targetStated(limitOf(14));
    CHECK(node.m_router.takeLoad(node.m_now).slots == 3);
    node.targetStated(limitOf(2));
    CHECK(node.m_router.takeLoad(node.m_now).slots == 1);
    node.announce(9, 2);
    CHECK(node.m_router.takeLoad(node.m_now).slots == 9);
}

TEST_CASE("Keys and requests are not placed back and forth while a limit comes and goes", "[limit]")
{
    RouterFixture node(true, 9);
    serveOne(node, 1, 200ms);
    std::set<std::uint32_t> reported;
    for (int step = 0; step < 600; ++step) {
        node.m_now += 100ms;
        // Three seconds with the limit and five without it in turn.
        const bool limited = step % 80 < 30;
        node.targetStated(limited ? limitOf(4) : TargetStatement());
        reported.insert(node.m_router.takeLoad(node.m_now).slots);
    }
    CHECK(reported == std::set<std::uint32_t>{1});
    for (int step = 0; step < 200; ++step) {
        node.m_now += 100ms;
        node.targetStated(TargetStatement());
    }
    CHECK(node.m_router.takeLoad(node.m_now).slots == 9);
}

TEST_CASE("The reason of a refusal names the target's limit and when it was named", "[limit]")
{
    RouterFixture node(false, 9);
    node.m_ownership.m_members.resize(1);
    node.ownershipChanged();
    serveOne(node, 1, 200ms);
    node.targetStated(limitOf(0.5));
    node.m_now += 70ms;
    RequestArrived request = RouterFixture::request(2);
    request.timeout = 1s;
    node.arrive(request);
    CHECK(node.only<RefuseRequest>().detail.find("the target takes 0.5 requests/s, named 70 ms ago") != std::string::npos);
}

TEST_CASE("A request that its node cannot send to a limited target goes to another replica without a retry being spent", "[limit]")
{
    RouterFixture node(false, 9);
    node.m_ownership.m_document->retryPercent = 0;
    node.m_ownership.m_document->retryReserve = 0;
    // Only this node is a candidate for the first choice.
    node.m_ownership.m_members.back().leaving = true;
    node.ownershipChanged();
    serveOne(node, 1, 100ms);
    node.targetStated(limitOf(0));
    node.m_ownership.m_members.back().leaving = false;
    node.ownershipChanged();
    int forwarded = 0;
    for (std::uint64_t id = 2; id < 22; ++id) {
        RequestArrived request = RouterFixture::request(id);
        request.timeout = 1s;
        node.arrive(request);
        forwarded += static_cast<int>(node.all<ForwardRequest>().size());
        CHECK(node.all<RefuseRequest>().empty());
    }
    CHECK(forwarded == 20);
}
