#include "deduplicationmemory.h"
#include "requestfixture.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace nutmeghinge::test;
using namespace std::chrono_literals;

namespace {

const StoredAnswer taken{201, {{"content-type", "text/plain"}}, "shift taken"};

} // namespace

TEST_CASE("Repeats of an Idempotency-Key get the first request's answer", "[request]")
{
    RouterFixture node;
    node.arrive(RouterFixture::request(1, "POST", "claim-1"));
    const auto first = node.only<SendToTarget>();
    CHECK(first.keepAnswer);
    node.arrive(RouterFixture::request(2, "POST", "claim-1"));
    CHECK(node.all<SendToTarget>().empty());

    SECTION("joined while it runs, and from memory after")
    {
        node.answered(first.attempt, taken);
        CHECK(node.only<AnswerFromStore>().request == RequestId(2));
        node.arrive(RouterFixture::request(3, "POST", "claim-1"));
        CHECK(node.only<AnswerFromStore>().answer == taken);
        CHECK(node.m_router.runningRequests() == 0);
    }
    SECTION("the first caller has gone")
    {
        node.cancel(1);
        node.answered(first.attempt, taken);
        CHECK(node.only<AnswerFromStore>().answer == taken);
    }
    SECTION("the first was not run: the joined one runs itself")
    {
        node.cancel(1);
        node.notRun(first.attempt, NotRunReason::Overloaded);
        CHECK(node.only<SendToTarget>().request == RequestId(2));
    }
    SECTION("the first's outcome is unknown: never run again")
    {
        node.unknown(first.attempt);
        CHECK(node.all<RefuseRequest>().size() == 2);
        node.arrive(RouterFixture::request(3, "POST", "claim-1"));
        CHECK(node.only<RefuseRequest>().status == 502);
        CHECK(node.only<RefuseRequest>().outcome == Outcome::Unknown);
    }
    SECTION("the answer was too large to keep")
    {
        node.answered(first.attempt);
        CHECK(node.only<RefuseRequest>().status == 409);
        CHECK(node.only<RefuseRequest>().outcome == Outcome::Unknown);
    }
    SECTION("the joined one's deadline comes first: the key's request may have run")
    {
        node.tickAfter(10s);
        CHECK(node.only<RefuseRequest>().request == RequestId(2));
        CHECK(node.only<RefuseRequest>().status == 504);
        CHECK(node.only<RefuseRequest>().outcome == Outcome::Unknown);
    }
    SECTION("another request under the same key is refused")
    {
        RequestArrived other = RouterFixture::request(3, "POST", "claim-1");
        other.path = "/orders";
        node.arrive(other);
        CHECK(node.only<RefuseRequest>().status == 422);
    }
    SECTION("another caller's key is another request")
    {
        RequestArrived other = RouterFixture::request(3, "POST", "claim-1");
        other.headers.front().second = "crew-2";
        node.arrive(other);
        CHECK(node.all<SendToTarget>().size() == 1);
    }
}

TEST_CASE("The memory moves with a handover and keeps what it knows better", "[request]")
{
    RouterFixture from;
    from.arrive(RouterFixture::request(1, "POST", "claim-1"));
    const auto sent = from.only<SendToTarget>();
    from.answered(sent.attempt, taken);
    from.arrive(RouterFixture::request(2, "POST", "claim-2"));
    from.unknown(from.only<SendToTarget>().attempt);
    from.m_now += 1min;
    const auto entries = from.m_router.exportDeduplication(sent.shard, from.m_now);
    REQUIRE(entries.size() == 2);
    CHECK(entries.front().age == 1min);
    CHECK(from.m_router.exportDeduplication(ShardIndex((sent.shard.value() + 1) % 4), from.m_now).empty());

    RouterFixture to;
    to.m_router.importDeduplication(entries, to.m_now);
    auto unknown = entries;
    unknown.front().answer.reset();
    to.m_router.importDeduplication(unknown, to.m_now);
    to.arrive(RouterFixture::request(1, "POST", "claim-1"));
    CHECK(to.only<AnswerFromStore>().answer == taken);
    to.arrive(RouterFixture::request(2, "POST", "claim-2"));
    CHECK(to.only<RefuseRequest>().outcome == Outcome::Unknown);

    // The window counts from the first node's answer.
    to.m_now += 9min + 1s;
    to.arrive(RouterFixture::request(3, "POST", "claim-1"));
    CHECK(to.all<SendToTarget>().size() == 1);
}

TEST_CASE("A repeat is not run by a successor of the node that may have run the first", "[request]")
{
    RouterFixture node;
    node.m_ownership.addMember(MemberSlot(3), "east");
    node.m_ownership.own(MemberSlot(2));
    node.ownershipChanged();
    node.arrive(RouterFixture::request(1, "POST", "claim-1"));
    node.unknown(node.only<ForwardRequest>().attempt);
    CHECK(node.only<RefuseRequest>().outcome == Outcome::Unknown);

    SECTION("the same owner knows what became of it")
    {
        node.arrive(RouterFixture::request(2, "POST", "claim-1"));
        CHECK(node.all<ForwardRequest>().size() == 1);
    }
    SECTION("another owner is not asked, nor this node's target")
    {
        node.m_ownership.own(MemberSlot(GENERATE(1U, 3U)));
        node.ownershipChanged();
        node.arrive(RouterFixture::request(2, "POST", "claim-1"));
        CHECK(node.only<RefuseRequest>().status == 502);
        CHECK(node.only<RefuseRequest>().outcome == Outcome::Unknown);
        node.arrive(RouterFixture::request(3, "POST", "claim-2"));
        CHECK(node.all<RefuseRequest>().empty());
    }
}

TEST_CASE("A node that lost the shard still knows what it ran", "[request]")
{
    RouterFixture node;
    node.arrive(RouterFixture::request(1, "POST", "claim-1"));
    node.unknown(node.only<SendToTarget>().attempt);
    node.m_ownership.own(MemberSlot(2));
    node.ownershipChanged();
    node.arrive(RouterFixture::request(2, "POST", "claim-1"));
    CHECK(node.only<RefuseRequest>().outcome == Outcome::Unknown);
}

TEST_CASE("The memory is bounded: the oldest finished go first, what runs stays", "[request]")
{
    DeduplicationMemory memory;
    memory.setBounds(2, 10min);
    Request running;
    running.id = RequestId(1);
    running.deduplicationKey = "crew-1\nrunning";
    memory.begin(running);
    MonotonicTime now{100s};
    for (std::uint64_t id = 2; id <= 4; ++id) {
        Request request;
        request.id = RequestId(id);
        request.deduplicationKey = "crew-1\n" + std::to_string(id);
        memory.begin(request);
        memory.finishAnswered(request, taken, now += 1s);
    }
    CHECK(memory.size() == 2);
    CHECK(memory.evictions() == 2);
    CHECK(std::holds_alternative<DeduplicationMemory::Running>(memory.find(running)));
    Request last;
    last.deduplicationKey = "crew-1\n4";
    CHECK(std::holds_alternative<DeduplicationMemory::Answered>(memory.find(last)));
}
