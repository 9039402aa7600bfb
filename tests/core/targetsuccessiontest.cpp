#include "targetsuccession.h"
#include "events.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace std::chrono_literals;

using Decision = TargetSuccession::Decision;
using Evidence = TargetSuccession::Evidence;

namespace {

constexpr Duration silenceLimit = 3s;

/** A target with name "i-1" and incarnation 100 that is known to run. */
struct RunningTarget {
    RunningTarget()
    {
        decide("i-1", 100, 1);
        decide("i-1", 100, 2);
    }

    Decision decide(const std::string &name, std::uint64_t incarnation, std::uint64_t sequence, Evidence evidence = {})
    {
        TargetAnnounced announced;
        announced.target = TargetName(name);
        announced.targetIncarnation = incarnation;
        announced.sequence = sequence;
        return succession.decide(announced, evidence, now);
    }

    TargetSuccession succession{silenceLimit};
    MonotonicTime now{100s};
};

} // namespace

TEST_CASE("An overtaken heartbeat is stale, one with a higher number counts")
{
    RunningTarget target;
    CHECK(target.succession.isConfirmed());
    CHECK(target.decide("i-1", 100, 2) == Decision::Stale);
    CHECK(target.decide("i-1", 100, 1) == Decision::Stale);
    CHECK(target.decide("i-1", 100, 5) == Decision::Current);
}

TEST_CASE("A later incarnation replaces one that runs only if that one has ended, or is silent or leaves and holds no keys")
{
    RunningTarget target;
    CHECK(target.decide("i-2", 200, 1) == Decision::Unproven);
    CHECK(target.decide("i-2", 200, 2) == Decision::Unproven);
    CHECK(target.decide("i-1", 200, 1) == Decision::Unproven);
    SECTION("ended")
    {
        CHECK(target.decide("i-2", 200, 3, {.hasEnded = true, .holdsKeys = true}) == Decision::Successor);
    }
    SECTION("leaves")
    {
        CHECK(target.decide("i-2", 200, 3, {.holdsKeys = true, .leaves = true}) == Decision::Unproven);
        CHECK(target.decide("i-2", 200, 4, {.leaves = true}) == Decision::Successor);
    }
    SECTION("silent")
    {
        target.now += silenceLimit;
        CHECK(target.decide("i-2", 200, 3, {.holdsKeys = true}) == Decision::Unproven);
        CHECK(target.decide("i-2", 200, 4) == Decision::Successor);
    }
    CHECK(target.decide("i-1", 100, 3) == Decision::Stale);
}

TEST_CASE("A later incarnation that was taken by mistake does not hide the real one for longer than the silence limit and two heartbeats")
{
    RunningTarget target;
    target.now += silenceLimit;
    REQUIRE(target.decide("another-writer", 900, 1) == Decision::Successor);
    CHECK(target.decide("i-1", 100, 3) == Decision::Stale);
    target.now += silenceLimit;
    CHECK(target.decide("i-1", 100, 4) == Decision::Unproven);
    CHECK(target.decide("i-1", 100, 5) == Decision::Successor);
}

TEST_CASE("A target whose clock was set back before its restart is used after its second heartbeat")
{
    RunningTarget target;
    CHECK(target.decide("i-2", 50, 1, {.hasEnded = true}) == Decision::Unproven);
    CHECK(target.decide("i-2", 50, 2, {.hasEnded = true}) == Decision::Successor);
    CHECK(target.succession.isConfirmed());
}

TEST_CASE("One late heartbeat of an ended incarnation does not replace a silent one")
{
    RunningTarget target;
    target.now += silenceLimit;
    CHECK(target.decide("i-0", 50, 7) == Decision::Unproven);
    CHECK(target.decide("i-0", 50, 7) == Decision::Unproven);
    CHECK(target.decide("i-1", 100, 3) == Decision::Current);
    CHECK(target.decide("i-0", 50, 8) == Decision::Stale);
}

TEST_CASE("The first heartbeat that a process gets confirms no target; the target that sends two is used")
{
    RunningTarget target;
    target.succession = TargetSuccession(silenceLimit);
    REQUIRE(target.decide("another-writer", 900, 1) == Decision::Successor);
    CHECK_FALSE(target.succession.isConfirmed());
    CHECK(target.decide("i-1", 100, 3) == Decision::Unproven);
    CHECK(target.decide("i-1", 100, 4) == Decision::Successor);
    CHECK(target.succession.isConfirmed());
    CHECK(target.decide("another-writer", 900, 2) == Decision::Unproven);
}

TEST_CASE("Targets that do not number their announcements replace each other at once")
{
    RunningTarget target;
    target.succession = TargetSuccession(silenceLimit);
    CHECK(target.decide("t-1", 1, 0) == Decision::Successor);
    CHECK(target.decide("t-1", 1, 0) == Decision::Current);
    CHECK(target.decide("t-1", 2, 0) == Decision::Successor);
}
