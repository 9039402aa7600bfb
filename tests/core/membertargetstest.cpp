#include "membertargets.h"
#include "requestfixture.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace nutmeghinge::test;
using namespace std::chrono_literals;

namespace {

RelayedStatement limitOf(std::uint64_t incarnation, double rate)
{
    RelayedStatement relayed;
    relayed.target = {TargetName("target-2"), incarnation};
    relayed.statement.limit = RequestRate(rate);
    return relayed;
}

RelayedStatement leaving(std::uint64_t incarnation, Duration since)
{
    RelayedStatement relayed;
    relayed.target = {TargetName("target-2"), incarnation};
    relayed.statement.leaving = true;
    relayed.leavingFor = since;
    return relayed;
}

} // namespace

TEST_CASE("A limit that a member's target named is repeated to the member until an answer no longer has it", "[limit]")
{
    MemberTargets targets;
    const MonotonicTime now{10s};
    targets.answered(NodeName("b"), limitOf(1, 4), now);
    CHECK(targets.statementFor(NodeName("b"), now) == limitOf(1, 4));
    CHECK_FALSE(targets.statementFor(NodeName("c"), now));
    targets.answered(NodeName("b"), std::nullopt, now);
    CHECK_FALSE(targets.statementFor(NodeName("b"), now));
}

TEST_CASE("A departure stays known from its earliest time on until another target answers for the member", "[limit]")
{
    MemberTargets targets;
    const MonotonicTime now{10s};
    targets.answered(NodeName("b"), leaving(1, 500ms), now);
    targets.answered(NodeName("b"), leaving(1, 0ms), now + 1s);
    targets.answered(NodeName("b"), std::nullopt, now + 2s);
    CHECK(targets.statementFor(NodeName("b"), now + 2s) == leaving(1, 2500ms));
    targets.answered(NodeName("b"), limitOf(2, 4), now + 3s);
    CHECK(targets.statementFor(NodeName("b"), now + 3s) == limitOf(2, 4));
}

TEST_CASE("A node that was restarted keeps the limit that another node knows of, from the first request on", "[limit]")
{
    RouterFixture node(true, 9);
    TargetStated stated;
    stated.target.incarnation = 1;
    stated.statement.limit = RequestRate(2);
    stated.source = TargetStated::Source::Peer;
    node.targetStated(stated);
    std::size_t sent = 0;
    for (std::uint64_t id = 1; id <= 20; ++id) {
        node.arrive(RouterFixture::request(id));
        sent += node.all<SendToTarget>().size();
    }
    CHECK(sent == 0);
    node.tickAfter(500ms);
    CHECK(node.all<SendToTarget>().size() == 1);
}

TEST_CASE("A limit of an earlier incarnation of the target changes nothing", "[limit]")
{
    RouterFixture node(true, 9);
    TargetStated stated;
    stated.target.incarnation = 1;
    stated.statement.limit = RequestRate(2);
    node.announce(9, 2);
    node.targetStated(stated);
    node.arrive(RouterFixture::request(1));
    CHECK(node.all<SendToTarget>().size() == 1);
}

TEST_CASE("A node repeats to a member what the member's target said when it forwards a request", "[limit]")
{
    RouterFixture node;
    node.m_ownership.setOwner(MemberSlot(2));
    node.ownershipChanged();
    node.arrive(RouterFixture::request(1));
    CHECK_FALSE(node.only<ForwardRequest>().relayed);
    node.answering(node.only<ForwardRequest>().attempt, limitOf(1, 4));
    node.arrive(RouterFixture::request(2));
    CHECK(node.only<ForwardRequest>().relayed == limitOf(1, 4));
}

TEST_CASE("What a member's target said is repeated to the member that its node is after a restart", "[limit]")
{
    RouterFixture node;
    node.m_ownership.m_members.back().node = NodeName("b");
    node.m_ownership.setOwner(MemberSlot(2));
    node.ownershipChanged();
    node.arrive(RouterFixture::request(1));
    node.answering(node.only<ForwardRequest>().attempt, limitOf(1, 4));
    node.m_ownership.m_members.pop_back();
    node.m_ownership.setOwner(noMember, ShardOwnership::State::Unowned);
    node.ownershipChanged();
    node.m_now += 500ms;
    node.m_ownership.addMember(MemberSlot(5), "south");
    node.m_ownership.m_members.back().node = NodeName("b");
    node.m_ownership.setOwner(MemberSlot(5));
    node.ownershipChanged();
    node.arrive(RouterFixture::request(2));
    CHECK(node.only<ForwardRequest>().relayed == limitOf(1, 4));
}

TEST_CASE("Targets that have said nothing for two minutes are forgotten when another says something", "[limit]")
{
    MemberTargets targets;
    targets.answered(NodeName("b"), limitOf(1, 4), MonotonicTime(10s));
    targets.answered(NodeName("c"), limitOf(1, 4), MonotonicTime(131s));
    CHECK_FALSE(targets.statementFor(NodeName("b"), MonotonicTime(131s)));
    CHECK(targets.statementFor(NodeName("c"), MonotonicTime(131s)));
}
