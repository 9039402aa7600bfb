#include "deduplicationmemory.h"
#include "requestfixture.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace nutmeghinge::test;
using namespace std::chrono_literals;

namespace {

const StoredAnswer storedAnswer{201, {{"content-type", "text/plain"}}, "shift taken"};

} // namespace

TEST_CASE("Repeated requests with the same Idempotency-Key receive the first request's answer", "[request]")
{
    RouterFixture node;
    node.arrive(RouterFixture::request(1, "POST", "claim-1"));
    const auto first = node.only<SendToTarget>();
    CHECK(first.keepAnswer);
    node.arrive(RouterFixture::request(2, "POST", "claim-1"));
    CHECK(node.all<SendToTarget>().empty());

    SECTION("the first request is answered: the joined request and later repeats receive its answer")
    {
        node.answered(first.attempt, storedAnswer);
        CHECK(node.only<AnswerFromStore>().request == RequestId(2));
        node.arrive(RouterFixture::request(3, "POST", "claim-1"));
        CHECK(node.only<AnswerFromStore>().answer == storedAnswer);
        CHECK(node.m_router.runningRequests() == 0);
    }
    SECTION("the first caller cancels its request")
    {
        node.cancel(1);
        node.answered(first.attempt, storedAnswer);
        CHECK(node.only<AnswerFromStore>().answer == storedAnswer);
    }
    SECTION("the first request was not run: the joined request runs")
    {
        node.cancel(1);
        node.notRun(first.attempt, NotRunReason::Overloaded);
        CHECK(node.only<SendToTarget>().request == RequestId(2));
    }
    SECTION("the first request's outcome is unknown: repeats are refused as unknown")
    {
        node.unknown(first.attempt);
        CHECK(node.all<RefuseRequest>().size() == 2);
        node.arrive(RouterFixture::request(3, "POST", "claim-1"));
        CHECK(node.only<RefuseRequest>().status == 502);
        CHECK(node.only<RefuseRequest>().outcome == Outcome::Unknown);
    }
    SECTION("the answer is too large to store")
    {
        node.answered(first.attempt);
        CHECK(node.only<RefuseRequest>().status == 409);
        CHECK(node.only<RefuseRequest>().outcome == Outcome::Unknown);
    }
    SECTION("the joined request's deadline expires before the first request ends: its outcome is unknown")
    {
        node.tickAfter(10s);
        CHECK(node.only<RefuseRequest>().request == RequestId(2));
        CHECK(node.only<RefuseRequest>().status == 504);
        CHECK(node.only<RefuseRequest>().outcome == Outcome::Unknown);
    }
    SECTION("a different request with the same Idempotency-Key is refused")
    {
        RequestArrived other = RouterFixture::request(3, "POST", "claim-1");
        other.path = "/orders";
        node.arrive(other);
        CHECK(node.only<RefuseRequest>().status == 422);
    }
    SECTION("the same Idempotency-Key with another shard key is another request")
    {
        RequestArrived other = RouterFixture::request(3, "POST", "claim-1");
        other.headers.front().second = "crew-2";
        node.arrive(other);
        CHECK(node.all<SendToTarget>().size() == 1);
    }
}

TEST_CASE("The deduplication memory moves with a handover, and an imported entry without an answer does not replace a stored answer", "[request]")
{
    RouterFixture from;
    from.arrive(RouterFixture::request(1, "POST", "claim-1"));
    const auto sent = from.only<SendToTarget>();
    from.answered(sent.attempt, storedAnswer);
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
    CHECK(to.only<AnswerFromStore>().answer == storedAnswer);
    to.arrive(RouterFixture::request(2, "POST", "claim-2"));
    CHECK(to.only<RefuseRequest>().outcome == Outcome::Unknown);

    // The deduplication window starts with the answer at the first node.
    to.m_now += 9min + 1s;
    to.arrive(RouterFixture::request(3, "POST", "claim-1"));
    CHECK(to.all<SendToTarget>().size() == 1);
}

TEST_CASE("A repeat is not run by another owner than the one that may have run the first request", "[request]")
{
    RouterFixture node;
    node.m_ownership.addMember(MemberSlot(3), "east");
    node.m_ownership.setOwner(MemberSlot(2));
    node.ownershipChanged();
    node.arrive(RouterFixture::request(1, "POST", "claim-1"));
    node.unknown(node.only<ForwardRequest>().attempt);
    CHECK(node.only<RefuseRequest>().outcome == Outcome::Unknown);

    SECTION("the owner is the same: the repeat is forwarded to it")
    {
        node.arrive(RouterFixture::request(2, "POST", "claim-1"));
        CHECK(node.all<ForwardRequest>().size() == 1);
    }
    SECTION("the owner is another node or this one: the repeat is refused as unknown")
    {
        node.m_ownership.setOwner(MemberSlot(GENERATE(1U, 3U)));
        node.ownershipChanged();
        node.arrive(RouterFixture::request(2, "POST", "claim-1"));
        CHECK(node.only<RefuseRequest>().status == 502);
        CHECK(node.only<RefuseRequest>().outcome == Outcome::Unknown);
        node.arrive(RouterFixture::request(3, "POST", "claim-2"));
        CHECK(node.all<RefuseRequest>().empty());
    }
}

TEST_CASE("A former owner refuses a repeat of a request that it ran with an unknown outcome", "[request]")
{
    RouterFixture node;
    node.arrive(RouterFixture::request(1, "POST", "claim-1"));
    node.unknown(node.only<SendToTarget>().attempt);
    node.m_ownership.setOwner(MemberSlot(2));
    node.ownershipChanged();
    node.arrive(RouterFixture::request(2, "POST", "claim-1"));
    CHECK(node.only<RefuseRequest>().outcome == Outcome::Unknown);
}

TEST_CASE("A full deduplication memory evicts the oldest finished entries and keeps running ones", "[request]")
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
        memory.finishAnswered(request, storedAnswer, now += 1s);
    }
    CHECK(memory.size() == 2);
    CHECK(memory.evictions() == 2);
    CHECK(std::holds_alternative<DeduplicationMemory::Running>(memory.find(running)));
    Request last;
    last.deduplicationKey = "crew-1\n4";
    CHECK(std::holds_alternative<DeduplicationMemory::Answered>(memory.find(last)));
}
