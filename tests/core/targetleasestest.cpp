#include "targetleases.h"
#include "events.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace std::chrono_literals;

namespace {

constexpr MemberSlot self{1};
constexpr MemberSlot other{2};

/** Target leases on a section of four shards, each a quarter of the keys and all owned by this node. */
struct Setup {
    Setup()
    {
        section = {ServiceName("roster"), 0, 4};
        map.version = {Term(5), 1};
        map.sections = {section};
        map.shards.assign(4, {ShardOwnership::State::Owned, self, noMember, {Term(5), 1}});
        targetLeases.setHoldTime(4s);
    }

    void heartbeat(std::vector<HeldRange> held, std::vector<ReleasedRange> released = {}, std::uint64_t incarnation = 1)
    {
        TargetAnnounced announced;
        announced.targetIncarnation = incarnation;
        announced.targetLeases = TargetLeaseReport{std::move(held), std::move(released)};
        targetLeases.announced(announced, section, map.version, now);
    }
    std::optional<TargetLeaseGrant> grant(Duration lease = 10s) { return targetLeases.grant(map, section, self, now + lease, now); }

    ShardSection section;
    OwnershipMap map;
    TargetLeases targetLeases;
    MonotonicTime now{100s};
};

} // namespace

TEST_CASE("Adjacent shards with the same fence are granted as one range")
{
    Setup setup;
    setup.heartbeat({});
    setup.map.shards[2].fence = {Term(5), 2};
    const std::optional<TargetLeaseGrant> grant = setup.grant();
    REQUIRE(grant);
    CHECK(grant->ranges == std::vector<GrantedRange>{{0, 32767, {Term(5), 1}, ""}, {32768, 49151, {Term(5), 2}, ""}, {49152, 65535, {Term(5), 1}, ""}});
    CHECK(grant->holdTime == 4s);
}

TEST_CASE("A target lease ends within the member lease, even if the target's clock is slow")
{
    Setup setup;
    setup.heartbeat({});
    const std::optional<TargetLeaseGrant> grant = setup.grant(2s);
    REQUIRE(grant);
    CHECK(grant->holdTime + grant->holdTime * 20 / 1000 <= 2s);
    CHECK_FALSE(setup.grant(100ms));
}

TEST_CASE("Requests may run only on granted shards, under the granted fence and until the target lease expires")
{
    Setup setup;
    setup.heartbeat({});
    CHECK_FALSE(setup.targetLeases.mayRun(ShardIndex(0), {Term(5), 1}, setup.now));
    setup.map.shards[3].owner = other;
    REQUIRE(setup.grant());
    CHECK(setup.targetLeases.mayRun(ShardIndex(0), {Term(5), 1}, setup.now));
    CHECK_FALSE(setup.targetLeases.mayRun(ShardIndex(0), {Term(5), 2}, setup.now));
    CHECK_FALSE(setup.targetLeases.mayRun(ShardIndex(3), {Term(5), 1}, setup.now));
    CHECK_FALSE(setup.targetLeases.mayRun(ShardIndex(0), {Term(5), 1}, setup.now + 5s));
}

TEST_CASE("A shard is free only after a heartbeat reports its release or the target lease expires")
{
    Setup setup;
    setup.heartbeat({});
    REQUIRE(setup.grant());
    CHECK_FALSE(setup.targetLeases.isFree(ShardIndex(0), setup.now));
    setup.heartbeat({{0, 65535, {Term(5), 1}}});
    setup.map.shards[0].state = ShardOwnership::State::Releasing;
    REQUIRE(setup.grant());
    CHECK_FALSE(setup.targetLeases.mayRun(ShardIndex(0), {Term(5), 1}, setup.now));
    CHECK_FALSE(setup.targetLeases.isFree(ShardIndex(0), setup.now));
    // The target reports the shard as held while requests still run on it.
    setup.heartbeat({{0, 65535, {Term(5), 1}}});
    CHECK_FALSE(setup.targetLeases.isFree(ShardIndex(0), setup.now));
    setup.heartbeat({{16384, 65535, {Term(5), 1}}}, {{0, 16383, "token"}});
    CHECK(setup.targetLeases.isFree(ShardIndex(0), setup.now));
    CHECK(setup.targetLeases.handoverTokenOf(ShardIndex(0)) == "token");
    CHECK_FALSE(setup.targetLeases.isFree(ShardIndex(1), setup.now));
    CHECK(setup.targetLeases.isFree(ShardIndex(1), setup.now + 5s));
}

// Guards against two holders of a key: a late heartbeat, sent before its target had the grant, was taken for a release.
TEST_CASE("A heartbeat that does not list a shard releases it only if another one has listed it since it was granted")
{
    Setup setup;
    setup.heartbeat({});
    setup.map.shards[1].owner = other;
    REQUIRE(setup.grant());
    setup.heartbeat({});
    setup.map.shards[0].owner = other;
    REQUIRE(setup.grant(2s));
    CHECK_FALSE(setup.targetLeases.isFree(ShardIndex(0), setup.now));
    CHECK(setup.targetLeases.isFree(ShardIndex(1), setup.now));
    SECTION("or the target lease of that grant has expired")
    {
        setup.now += 5s;
        REQUIRE(setup.grant());
        CHECK(setup.targetLeases.isFree(ShardIndex(0), setup.now));
        CHECK_FALSE(setup.targetLeases.isFree(ShardIndex(2), setup.now));
    }
    SECTION("under the fence of that grant")
    {
        setup.heartbeat({{0, 16383, {Term(4), 9}}});
        setup.heartbeat({});
        CHECK_FALSE(setup.targetLeases.isFree(ShardIndex(0), setup.now));
        setup.heartbeat({{0, 16383, {Term(5), 1}}});
        setup.heartbeat({});
        CHECK(setup.targetLeases.isFree(ShardIndex(0), setup.now));
    }
}

TEST_CASE("Under the map of an earlier coordinator, only shards already held are granted")
{
    // The new coordinator learns from a heartbeat which shards are held, and assigns the rest to others.
    Setup setup;
    setup.map.shards[1].owner = other;
    setup.heartbeat({});
    REQUIRE(setup.grant());
    setup.map.shards[1].owner = self;
    const std::optional<TargetLeaseGrant> renewed = setup.targetLeases.grant(setup.map, setup.section, self, setup.now + 10s, setup.now, true);
    REQUIRE(renewed);
    CHECK(renewed->ranges == std::vector<GrantedRange>{{0, 16383, {Term(5), 1}, ""}, {32768, 65535, {Term(5), 1}, ""}});
    CHECK_FALSE(setup.targetLeases.mayRun(ShardIndex(1), {Term(5), 1}, setup.now));
    CHECK(setup.grant()->ranges.size() == 1);
}

TEST_CASE("Grants carry a handover token until the target reports the shard as held")
{
    Setup setup;
    setup.heartbeat({});
    setup.targetLeases.setHandoverToken(ShardIndex(1), "warm");
    std::optional<TargetLeaseGrant> grant = setup.grant();
    REQUIRE(grant);
    REQUIRE(grant->ranges.size() == 3);
    CHECK(grant->ranges[1].handover == "warm");
    setup.heartbeat({{0, 65535, {Term(5), 1}}});
    grant = setup.grant();
    REQUIRE(grant);
    CHECK(grant->ranges.size() == 1);
}

TEST_CASE("A restarted target is granted only shards assigned after its restart")
{
    Setup setup;
    setup.heartbeat({});
    REQUIRE(setup.grant());
    setup.heartbeat({}, {}, 2);
    CHECK(setup.targetLeases.isFree(ShardIndex(0), setup.now));
    std::optional<TargetLeaseGrant> grant = setup.grant();
    REQUIRE(grant);
    CHECK(grant->ranges.empty());
    setup.map.version = {Term(5), 2};
    setup.map.shards[0].fence = {Term(5), 2};
    grant = setup.grant();
    REQUIRE(grant);
    REQUIRE(grant->ranges.size() == 1);
    CHECK(grant->ranges[0].fence == Fence{Term(5), 2});
}

TEST_CASE("A restarted node treats shards as held if its target reports them, until an earlier lease must have expired")
{
    Setup setup;
    setup.heartbeat({{0, 32767, {Term(4), 9}}});
    CHECK(setup.targetLeases.held(setup.now) == std::vector<ShardIndex>{ShardIndex(0), ShardIndex(1)});
    CHECK(setup.targetLeases.held(setup.now + 5s).empty());
}

TEST_CASE("A report of the target does not extend the lease that the node granted")
{
    Setup setup;
    setup.heartbeat({});
    setup.now += 10s;
    REQUIRE(setup.grant(2s));
    setup.now += 1s;
    setup.heartbeat({{0, 65535, {Term(5), 1}}});
    CHECK(setup.targetLeases.held(setup.now).size() == 4);
    CHECK(setup.targetLeases.held(setup.now + 1s).empty());
}

TEST_CASE("A shard counts as held if the target reports any part of it")
{
    Setup setup;
    setup.heartbeat({{100, 200, {Term(4), 9}}});
    CHECK(setup.targetLeases.held(setup.now) == std::vector<ShardIndex>{ShardIndex(0)});
}
