#include "document.h"
#include "targetleaseharness.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace nutmeghinge;
using namespace std::chrono_literals;

namespace {

/** Limit on the time until lost keys are held again: target lease, member lease, a change of coordinator and two heartbeats. */
constexpr Duration lossLimit = 10s;

void injectRandomFault(TargetLeaseHarness &cell)
{
    const std::size_t node = cell.random(cell.size());
    switch (cell.random(9)) {
    case 0:
        cell.killNode(node);
        break;
    case 1:
        cell.killNode(node);
        cell.startNode(node);
        break;
    case 2:
        cell.killTarget(node);
        break;
    case 3:
        cell.killTarget(node);
        cell.startTarget(node);
        break;
    case 4:
        cell.pauseNode(node, std::chrono::milliseconds(200 + cell.random(6000)));
        break;
    case 5:
        cell.setIsolated(node, true);
        break;
    case 6:
        cell.setCutFromPlatform(node, true);
        break;
    case 7:
        cell.lossPerMille = static_cast<unsigned>(cell.random(200));
        cell.delay = std::chrono::milliseconds(1 + cell.random(800));
        break;
    default:
        cell.healAll();
    }
}

/** Injects random faults one after the other. Returns the violation found; empty if there was none and all keys are held again after the last fault. */
std::string violationUnderFaults(std::size_t nodes, std::uint64_t seed, int faultCount)
{
    TargetLeaseHarness cell(nodes, seed);
    cell.run(5s);
    for (int fault = 0; fault < faultCount && cell.violation().empty(); ++fault) {
        injectRandomFault(cell);
        cell.run(std::chrono::milliseconds(50 + cell.random(3000)));
    }
    cell.healAll();
    // Recovery takes the hold limit, the leases, a change of coordinator and the admission of the members, one after the other.
    const bool recovered = cell.runUntilAllHeld(40s).has_value();
    return recovered || !cell.violation().empty() ? cell.violation() : "not all keys are held again";
}

/** Like violationUnderFaults(), but with restorations of the platform's table between the faults, and writes that arrive late. */
std::string violationUnderRestorations(std::size_t nodes, std::uint64_t seed, int faultCount)
{
    TargetLeaseHarness cell(nodes, seed);
    cell.run(5s);
    cell.lateWritesPerMille = static_cast<unsigned>(cell.random(300));
    for (int fault = 0; fault < faultCount && cell.violation().empty(); ++fault) {
        switch (cell.random(4)) {
        case 0:
            cell.restorePlatform(std::chrono::milliseconds(100 + cell.random(8000)));
            break;
        case 1:
            for (std::size_t node = 0; node < cell.size(); ++node) {
                cell.killNode(node);
            }
            cell.run(std::chrono::milliseconds(cell.random(1000)));
            for (std::size_t node = 0; node < cell.size(); ++node) {
                cell.startNode(node);
            }
            break;
        default:
            injectRandomFault(cell);
        }
        cell.run(std::chrono::milliseconds(50 + cell.random(3000)));
    }
    cell.healAll();
    cell.lateWritesPerMille = 0;
    const bool recovered = cell.runUntilAllHeld(40s).has_value();
    return recovered || !cell.violation().empty() ? cell.violation() : "not all keys are held again";
}

} // namespace

TEST_CASE("Nodes that start together hold all keys within five seconds")
{
    for (const std::size_t nodes : {3U, 11U}) {
        TargetLeaseHarness cell(nodes, 7);
        CHECK(cell.runUntilAllHeld(5s));
        CHECK(cell.violation().empty());
    }
}

TEST_CASE("A term does not expire although its first votes are about to expire when it starts")
{
    // Nodes that have just started give no votes for a while, so the first votes are about to expire when the term begins.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        TargetLeaseHarness cell(2 + seed % 3, seed);
        cell.run(5s);
        INFO("seed " << seed);
        CHECK(cell.termsExpired() == 0);
    }
}

TEST_CASE("After all nodes are killed and restarted, all keys are held again")
{
    TargetLeaseHarness cell(11, 8);
    REQUIRE(cell.runUntilAllHeld(5s));
    cell.run(2s);
    for (std::size_t node = 0; node < cell.size(); ++node) {
        cell.killNode(node);
    }
    cell.run(700ms);
    for (std::size_t node = 0; node < cell.size(); ++node) {
        cell.startNode(node);
    }
    cell.run(5s);
    CHECK(cell.runUntilAllHeld(1s));
    CHECK(cell.violation().empty());
}

TEST_CASE("After all nodes are killed and restarted, keys do not wait for slow nodes whose targets hold none")
{
    constexpr std::size_t nodesWithoutKeys = 3;
    TargetLeaseHarness cell(8, 21, nodesWithoutKeys);
    REQUIRE(cell.runUntilAllHeld(5s));
    cell.run(2s);
    for (std::size_t node = 0; node < cell.size(); ++node) {
        cell.killNode(node);
    }
    cell.run(3s);
    for (std::size_t node = 0; node < cell.size(); ++node) {
        cell.startNode(node);
    }
    // They have announced themselves, and answer again only after two seconds.
    cell.run(300ms);
    for (std::size_t node = cell.size() - nodesWithoutKeys; node < cell.size(); ++node) {
        cell.pauseNode(node, 4s);
    }
    CHECK(cell.runUntilAllHeld(3500ms));
    CHECK(cell.violation().empty());
}

TEST_CASE("A coordinator that has stopped for good does not delay recovery after all other nodes are killed")
{
    TargetLeaseHarness cell(8, 31);
    REQUIRE(cell.runUntilAllHeld(5s));
    cell.run(2s);
    const std::optional<std::size_t> coordinator = cell.coordinator();
    REQUIRE(coordinator);
    cell.killTarget(*coordinator);
    cell.stopNode(*coordinator);
    for (int step = 0; step < 1000 && cell.coordinator() == coordinator; ++step) {
        cell.run(10ms);
    }
    // Its term has ended, and the others have not elected another coordinator.
    cell.run(30ms);
    for (std::size_t node = 0; node < cell.size(); ++node) {
        cell.killNode(node);
    }
    cell.run(700ms);
    for (std::size_t node = 0; node < cell.size(); ++node) {
        if (node != *coordinator) {
            cell.startNode(node);
        }
    }
    CHECK(cell.runUntilAllHeld(6s));
    CHECK(cell.violation().empty());
}

TEST_CASE("A coordinator that was stopped while it recovered does not delay recovery after all other nodes are killed")
{
    TargetLeaseHarness cell(8, 31);
    REQUIRE(cell.runUntilAllHeld(5s));
    cell.run(2s);
    const std::optional<std::size_t> first = cell.coordinator();
    REQUIRE(first);
    cell.killNode(*first);
    // One owner stays away, so that its keys are unconfirmed and the next coordinator stays in recovery.
    const std::size_t away = (*first + 1) % cell.size();
    cell.pauseNode(away, 30s);
    for (int step = 0; step < 1000 && (!cell.coordinator() || cell.coordinator() == first); ++step) {
        cell.run(10ms);
    }
    const std::optional<std::size_t> stopped = cell.coordinator();
    REQUIRE(stopped);
    cell.run(100ms);
    cell.killTarget(*stopped);
    cell.stopNode(*stopped);
    cell.run(1s);
    REQUIRE(cell.coordinator() == stopped);
    cell.closeConnections(*stopped);
    cell.run(400ms);
    CHECK(cell.hasExited(*stopped));
    for (std::size_t node = 0; node < cell.size(); ++node) {
        cell.killNode(node);
    }
    cell.run(700ms);
    for (std::size_t node = 0; node < cell.size(); ++node) {
        if (node != *stopped) {
            cell.startNode(node);
        }
    }
    CHECK(cell.runUntilAllHeld(12s));
    CHECK(cell.violation() == "");
}

TEST_CASE("Nodes that left earlier do not delay recovery after all other nodes are killed")
{
    TargetLeaseHarness cell(11, 12);
    REQUIRE(cell.runUntilAllHeld(5s));
    for (std::size_t node = 7; node < cell.size(); ++node) {
        cell.killNode(node);
        cell.killTarget(node);
    }
    cell.run(20s);
    REQUIRE(cell.heldShards() == TargetLeaseHarness::shards);
    for (std::size_t node = 0; node < 7; ++node) {
        cell.killNode(node);
    }
    // The targets keep running, but their leases expire.
    cell.run(5s);
    for (std::size_t node = 0; node < 7; ++node) {
        cell.startNode(node);
    }
    CHECK(cell.runUntilAllHeld(5s));
    CHECK(cell.violation().empty());
}

TEST_CASE("After all nodes restart, keys of a target with delayed heartbeats move only once its lease has expired")
{
    for (std::size_t late = 0; late < 5; ++late) {
        TargetLeaseHarness cell(5, 13 + late);
        REQUIRE(cell.runUntilAllHeld(5s));
        cell.run(2s);
        for (std::size_t node = 0; node < cell.size(); ++node) {
            cell.killNode(node);
        }
        cell.setHeartbeatDelay(late, 1200ms);
        for (std::size_t node = 0; node < cell.size(); ++node) {
            cell.startNode(node);
        }
        cell.run(4s);
        cell.setHeartbeatDelay(late, 0ms);
        INFO("late target " << late);
        CHECK(cell.runUntilAllHeld(10s));
        CHECK(cell.violation() == "");
    }
}

TEST_CASE("A cell recovers after all members are killed and all but one restart")
{
    TargetLeaseHarness cell(7, 9);
    REQUIRE(cell.runUntilAllHeld(5s));
    cell.run(2s);
    for (std::size_t node = 0; node < cell.size(); ++node) {
        cell.killNode(node);
        cell.killTarget(node);
    }
    cell.run(500ms);
    for (std::size_t node = 1; node < cell.size(); ++node) {
        cell.startTarget(node);
        cell.startNode(node);
    }
    CHECK(cell.runUntilAllHeld(15s));
    CHECK(cell.violation().empty());
}

TEST_CASE("A target keeps its keys when its node restarts")
{
    TargetLeaseHarness cell(5, 10);
    REQUIRE(cell.runUntilAllHeld(5s));
    cell.run(2s);
    const std::size_t before = cell.shardsOf(2);
    REQUIRE(before > 0);
    cell.killNode(2);
    cell.run(500ms);
    cell.startNode(2);
    cell.run(5s);
    CHECK(cell.shardsOf(2) == before);
    CHECK(cell.heldShards() == TargetLeaseHarness::shards);
    CHECK(cell.violation().empty());
}

TEST_CASE("A heartbeat of another writer takes no key from the target that holds it, and the target stays in use")
{
    for (const bool draining : {false, true}) {
        for (std::size_t node = 0; node < 4; ++node) {
            TargetLeaseHarness cell(5, 61);
            REQUIRE(cell.runUntilAllHeld(5s));
            cell.run(2s);
            const std::size_t before = cell.shardsOf(node);
            REQUIRE(before > 0);
            cell.deliverForeignHeartbeat(node, draining);
            cell.run(8s);
            INFO("node " << node << ", draining " << draining);
            CHECK(cell.violation() == "");
            CHECK(cell.shardsOf(node) == before);
            CHECK(cell.shardsAdmittedBy(node) == before);
        }
    }
}

TEST_CASE("A heartbeat of another writer that a restarted node gets first takes no key from the target")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        TargetLeaseHarness cell(5, seed);
        REQUIRE(cell.runUntilAllHeld(5s));
        cell.run(2s);
        const std::size_t before = cell.shardsOf(2);
        REQUIRE(before > 0);
        cell.killNode(2);
        cell.startNode(2);
        cell.deliverForeignHeartbeat(2, false);
        cell.run(8s);
        INFO("seed " << seed);
        CHECK(cell.violation() == "");
        CHECK(cell.shardsOf(2) >= before);
    }
}

TEST_CASE("A late first heartbeat at a restarted node, from before its target got a key, does not free that key")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        TargetLeaseHarness cell(5, seed);
        cell.sendHeartbeatLate(2, 9s);
        REQUIRE(cell.runUntilAllHeld(5s));
        cell.run(8900ms - cell.now() + 10s);
        REQUIRE(cell.shardsOf(2) > 0);
        cell.killNode(2);
        cell.startNode(2);
        cell.run(8s);
        INFO("seed " << seed);
        CHECK(cell.violation() == "");
        CHECK(cell.heldShards() == TargetLeaseHarness::shards);
    }
}

TEST_CASE("Keys of a target that ends, restarts or drains are held again within the limit")
{
    TargetLeaseHarness cell(5, 11);
    REQUIRE(cell.runUntilAllHeld(5s));
    cell.run(2s);
    SECTION("ends")
    {
        cell.killTarget(1);
        CHECK(cell.runUntilAllHeld(lossLimit));
    }
    SECTION("restarts")
    {
        cell.killTarget(1);
        cell.startTarget(1);
        CHECK(cell.runUntilAllHeld(4s));
    }
    SECTION("drains")
    {
        cell.drainTarget(1);
        cell.run(6s);
        CHECK(cell.shardsOf(1) == 0);
        CHECK(cell.heldShards() == TargetLeaseHarness::shards);
    }
    SECTION("ends together with its node")
    {
        cell.killNode(1);
        cell.killTarget(1);
        CHECK(cell.runUntilAllHeld(lossLimit));
    }
    CHECK(cell.violation().empty());
}

TEST_CASE("A target that says only in its answers that it leaves gets no request two seconds later, and its keys move")
{
    TargetLeaseHarness cell(5, 11);
    REQUIRE(cell.runUntilAllHeld(5s));
    cell.run(2s);
    REQUIRE(cell.shardsOf(1) > 0);
    cell.answerAsLeaving(1);
    cell.run(2s);
    CHECK(cell.shardsAdmittedBy(1) == 0);
    cell.run(4s);
    CHECK(cell.shardsOf(1) == 0);
    CHECK(cell.heldShards() == TargetLeaseHarness::shards);
    CHECK(cell.violation().empty());
}

TEST_CASE("A node that was restarted learns from the first forwarded request that its target leaves")
{
    TargetLeaseHarness cell(5, 11);
    REQUIRE(cell.runUntilAllHeld(5s));
    cell.run(2s);
    cell.killNode(1);
    cell.run(500ms);
    cell.startNode(1);
    cell.run(5s);
    REQUIRE(cell.shardsAdmittedBy(1) > 0);
    cell.forwardKnowingDeparture(1, 3s);
    CHECK(cell.shardsAdmittedBy(1) == 0);
    cell.run(6s);
    CHECK(cell.shardsOf(1) == 0);
    CHECK(cell.heldShards() == TargetLeaseHarness::shards);
    CHECK(cell.violation().empty());
}

TEST_CASE("A departure stays known although later heartbeats of the target say that it is ready, and ends with its incarnation")
{
    TargetLeaseHarness cell(5, 11);
    REQUIRE(cell.runUntilAllHeld(5s));
    cell.run(2s);
    cell.answerAsLeaving(1);
    cell.run(10s);
    CHECK(cell.shardsAdmittedBy(1) == 0);
    cell.killTarget(1);
    cell.startTarget(1);
    cell.run(20s);
    CHECK(cell.shardsAdmittedBy(1) > 0);
}

TEST_CASE("A member row that the platform writes seconds late, for an ended process, does not shut out the node's new process")
{
    for (const Duration after : {500ms, 1500ms, 3000ms}) {
        TargetLeaseHarness cell(5, 71);
        REQUIRE(cell.runUntilAllHeld(5s));
        cell.run(2s);
        // A planned stop announces itself; the process is killed before the write takes effect.
        cell.delayMemberWrite(1, after);
        cell.stopNode(1);
        cell.run(100ms);
        cell.killNode(1);
        cell.run(100ms);
        cell.startNode(1);
        cell.run(12s);
        INFO("late by " << after.count() << " us");
        CHECK(cell.shardsOf(1) > 0);
        CHECK(cell.violation() == "");
    }
}

TEST_CASE("All keys stay held during a platform outage")
{
    TargetLeaseHarness cell(5, 12);
    REQUIRE(cell.runUntilAllHeld(5s));
    cell.run(2s);
    for (std::size_t node = 0; node < cell.size(); ++node) {
        cell.setCutFromPlatform(node, true);
    }
    for (int second = 0; second < 9; ++second) {
        cell.run(1s);
        CHECK(cell.heldShards() == TargetLeaseHarness::shards);
    }
    CHECK(cell.violation().empty());
}

TEST_CASE("No key has two holders and fences increase under random faults")
{
    const auto holds = rc::check([] {
        const auto nodes = *rc::gen::inRange<std::size_t>(2, 8);
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const std::string violation = violationUnderFaults(nodes, seed, *rc::gen::inRange(3, 14));
        if (!violation.empty()) {
            RC_FAIL(violation);
        }
    });
    CHECK(holds);
}

TEST_CASE("A coordinator that has used up the map versions of its term begins a new one, and all keys stay held")
{
    Timings timings = Timings::forHeartbeatsOf(TargetLeaseHarness::heartbeat);
    timings.mapVersionsPerTerm = 8;
    TargetLeaseHarness cell(5, 41, 0, timings);
    REQUIRE(cell.runUntilAllHeld(5s));
    cell.run(2s);
    for (int drain = 0; drain < 6; ++drain) {
        const std::size_t node = 1 + static_cast<std::size_t>(drain) % 4;
        cell.drainTarget(node);
        for (int step = 0; step < 60; ++step) {
            cell.run(100ms);
            CHECK(cell.heldShards() >= TargetLeaseHarness::shards / 2);
        }
        cell.killTarget(node);
        cell.startTarget(node);
        CHECK(cell.runUntilAllHeld(lossLimit));
    }
    CHECK(cell.highestSequence() < 2 * timings.mapVersionsPerTerm);
    CHECK(cell.violation() == "");
}

TEST_CASE("All keys stay held when the platform's table is restored from an older copy")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        TargetLeaseHarness cell(5, seed);
        REQUIRE(cell.runUntilAllHeld(5s));
        cell.run(2s);
        INFO("seed " << seed);
        for (const Duration age : {500ms, 3000ms, 6000ms}) {
            cell.restorePlatform(age);
            for (int step = 0; step < 80; ++step) {
                cell.run(100ms);
                CHECK(cell.heldShards() == TargetLeaseHarness::shards);
            }
        }
        CHECK(cell.violation() == "");
    }
}

TEST_CASE("After a restoration of the table and the loss of the coordinator, all keys are held again within the limit")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        TargetLeaseHarness cell(7, seed);
        REQUIRE(cell.runUntilAllHeld(5s));
        cell.run(2s);
        const std::optional<std::size_t> coordinator = cell.coordinator();
        REQUIRE(coordinator);
        cell.restorePlatform(4s);
        cell.killNode(*coordinator);
        cell.run(600ms);
        cell.startNode(*coordinator);
        cell.run(lossLimit);
        INFO("seed " << seed);
        CHECK(cell.heldShards() == TargetLeaseHarness::shards);
        CHECK(cell.violation() == "");
    }
}

TEST_CASE("After a restoration of the table and the loss of all nodes, all keys are held again after the hold limit")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        TargetLeaseHarness cell(7, seed);
        REQUIRE(cell.runUntilAllHeld(5s));
        cell.run(2s);
        for (std::size_t node = 0; node < cell.size(); ++node) {
            cell.killNode(node);
        }
        cell.restorePlatform(4s);
        cell.run(700ms);
        for (std::size_t node = 0; node < cell.size(); ++node) {
            cell.startNode(node);
        }
        INFO("seed " << seed);
        CHECK(cell.runUntilAllHeld(25s));
        CHECK(cell.violation() == "");
    }
}

TEST_CASE("With the default hold limit, keys come back after a restoration of the table and the loss of all nodes, once the hold limit has passed")
{
    const Duration holdLimit = Document().holdLimit;
    TargetLeaseHarness cell(3, 1, 0, Timings::forHeartbeatsOf(TargetLeaseHarness::heartbeat), holdLimit);
    REQUIRE(cell.runUntilAllHeld(5s));
    cell.run(2s);
    for (std::size_t node = 0; node < cell.size(); ++node) {
        cell.killNode(node);
    }
    cell.restorePlatform(4s);
    cell.run(11s);
    for (std::size_t node = 0; node < cell.size(); ++node) {
        cell.startNode(node);
    }
    CHECK_FALSE(cell.runUntilAllHeld(holdLimit - 1s));
    CHECK(cell.runUntilAllHeld(Timings().withDrift(holdLimit) - holdLimit + 30s));
    CHECK(cell.violation() == "");
}

TEST_CASE("No key has two holders and fences increase under restorations of the table and random faults")
{
    const auto holds = rc::check([] {
        const auto nodes = *rc::gen::inRange<std::size_t>(2, 8);
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const std::string violation = violationUnderRestorations(nodes, seed, *rc::gen::inRange(3, 14));
        if (!violation.empty()) {
            RC_FAIL(violation);
        }
    });
    CHECK(holds);
}

// The keys are not all held again within 40 s; issue 24.
TEST_CASE("All keys are held again after restorations of the table and random faults, in a play in which they were not")
{
    CHECK(violationUnderRestorations(4, 8375882, 7) == "");
}

TEST_CASE("No key has two holders under late heartbeats, those of another writer, and random faults")
{
    const auto holds = rc::check([] {
        TargetLeaseHarness cell(*rc::gen::inRange<std::size_t>(2, 8), *rc::gen::arbitrary<std::uint32_t>());
        const int faults = *rc::gen::inRange(3, 14);
        cell.run(5s);
        for (int fault = 0; fault < faults && cell.violation().empty(); ++fault) {
            const std::size_t node = cell.random(cell.size());
            switch (cell.random(3)) {
            case 0:
                cell.sendHeartbeatLate(node, std::chrono::milliseconds(cell.random(8000)));
                break;
            case 1:
                cell.deliverForeignHeartbeat(node, cell.random(2) == 0);
                break;
            default:
                injectRandomFault(cell);
            }
            cell.run(std::chrono::milliseconds(50 + cell.random(2000)));
        }
        cell.healAll();
        const bool recovered = cell.runUntilAllHeld(40s).has_value();
        if (!cell.violation().empty() || !recovered) {
            RC_FAIL(cell.violation().empty() ? "not all keys are held again" : cell.violation());
        }
    });
    CHECK(holds);
}

TEST_CASE("Seeds that once failed cause no violation")
{
    // Each comment names the failure that the seed below it reproduces.
    const auto [nodes, seed, faultCount] = GENERATE(table<std::size_t, std::uint64_t, int>({
        // The coordinator's own target restarts between two terms, and its keys keep a fence that it refuses.
        {2, 2638, 3},
        {2, 6, 4},
        // A paused node answers a heartbeat of its target's earlier incarnation, and the harness delivers the answer to the later one.
        {2, 28, 4},
        {6, 2701278, 8},
        // A node cut off from the others reports its target's keys as held for longer than it granted them, after they have moved.
        {4, 6240231, 5},
        // A member gets another slot within one term, and its first heartbeat from that slot does not report what its target holds.
        {6, 1036371667, 6},
        {2, 4140802, 9},
        // The coordinator's target restarts at the moment a term begins.
        {3, 343, 4},
        // A new coordinator does not know the fence under which a target holds its keys, and confirms them with one that the target refuses.
        {3, 2853, 5},
        // A term that ends during recovery leaves shards unowned that a node outside the cell still holds.
        {3, 2638, 3},
    }));
    CHECK(violationUnderFaults(nodes, seed, faultCount).empty());
}

TEST_CASE("Seeds that once failed with restorations of the table cause no violation")
{
    // Each comment names the failure that the seed below it reproduces.
    const auto [nodes, seed, faultCount] = GENERATE(table<std::size_t, std::uint64_t, int>({
        // A node that finds no row in a copy from before the cell creates a second cell beside the running one.
        {2, 6129931, 5},
        // A takeover of a row from a copy uses terms again that a lost takeover had used.
        {2, 331533, 8},
    }));
    CHECK(violationUnderRestorations(nodes, seed, faultCount) == "");
}

TEST_CASE("A stopping node does not end while its target works at a request that must not run twice and whose caller has left")
{
    TargetLeaseHarness cell(3, 41);
    REQUIRE(cell.runUntilAllHeld(5s));
    const std::optional<AttemptId> attempt = cell.requestOnce(0, RequestId(1));
    REQUIRE(attempt);
    cell.notify(0, RequestCancelled{RequestId(1)});
    cell.stopNode(0);
    cell.run(3s);
    cell.closeConnections(0);
    cell.run(1s);
    CHECK_FALSE(cell.hasExited(0));
    cell.notify(0, AttemptFinished{*attempt, AttemptAnswered{200, std::nullopt}});
    cell.run(1s);
    CHECK(cell.hasExited(0));
}

// Guards against a node that outlives the limit of its first stop request, and is ended from outside with requests running (LOST).
TEST_CASE("A second stop request does not prolong the stop limit")
{
    Timings timings = Timings::forHeartbeatsOf(TargetLeaseHarness::heartbeat);
    timings.stopLimit = 6s;
    TargetLeaseHarness cell(3, 41, 0, timings);
    REQUIRE(cell.runUntilAllHeld(5s));
    const std::optional<AttemptId> attempt = cell.requestOnce(0, RequestId(1));
    REQUIRE(attempt);
    bool cancelled = false;
    cell.requestEffects = [&](std::size_t, const Effect &effect) {
        const auto *cancel = std::get_if<CancelAttempt>(&effect);
        cancelled = cancelled || (cancel && cancel->attempt == *attempt);
    };
    cell.stopNode(0);
    cell.run(2s);
    cell.stopNode(0);
    cell.run(3s);
    CHECK_FALSE(cancelled);
    cell.run(1s);
    CHECK(cancelled);
}

TEST_CASE("A key that moves, or a lost coordinator, does not send the complete map to all members")
{
    TargetLeaseHarness cell(24, 51);
    REQUIRE(cell.runUntilAllHeld(5s));
    cell.run(3s);
    const std::size_t atStart = cell.wholeMapsSent();
    const std::size_t coordinator = cell.coordinator().value();
    for (std::size_t step = 1; step <= 4; ++step) {
        cell.killTarget((coordinator + step) % cell.size());
        cell.run(5s);
    }
    CHECK(cell.wholeMapsSent() == atStart);
    cell.killNode(coordinator);
    cell.killTarget(coordinator);
    CHECK(cell.runUntilAllHeld(10s));
    cell.run(3s);
    // Members that lost the last change before the end of the term get the complete map.
    CHECK(cell.wholeMapsSent() <= atStart + 2);
    CHECK(cell.violation().empty());
}

TEST_CASE("The start of a cell does not write a log line for each pair of its nodes")
{
    TargetLeaseHarness cell(60, 52);
    REQUIRE(cell.runUntilAllHeld(5s));
    CHECK(cell.membersAddedRecords() <= 2 * cell.size());
}
