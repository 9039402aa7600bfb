#include "cellharness.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace std::chrono_literals;

namespace {

CellHarness::Options withSeed(std::size_t nodes, std::uint64_t seed)
{
    CellHarness::Options options;
    options.nodes = nodes;
    options.seed = seed;
    return options;
}

bool allHaveDocument(const CellHarness &harness, std::uint64_t revision)
{
    for (std::size_t node = 0; node < harness.size(); ++node) {
        if (harness.isUp(node) && harness.cell(node).documentRevision() != DocumentRevision(revision)) {
            return false;
        }
    }
    return true;
}

std::size_t firstOtherThan(std::size_t node)
{
    return node == 0 ? 1 : 0;
}

} // namespace

TEST_CASE("A coordinator moves none of its own shards before a majority knows the map")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CellHarness harness(withSeed(5, seed));
        harness.run(25s);
        const std::size_t coordinator = harness.coordinator();
        REQUIRE(coordinator < harness.size());
        const std::size_t next = firstOtherThan(coordinator);
        for (std::size_t node = 0; node < harness.size(); ++node) {
            if (node != coordinator && node != next) {
                harness.cut(coordinator, node, true);
                harness.cut(next, node, true);
            }
        }
        harness.drain(coordinator);
        harness.run(5s);
        CAPTURE(seed, harness.violation());
        CHECK(harness.violation().empty());
    }
}

TEST_CASE("A lease counts from when the heartbeat was sent, even if the answer is late")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CellHarness harness(withSeed(5, seed));
        harness.run(25s);
        const std::size_t coordinator = harness.coordinator();
        REQUIRE(coordinator < harness.size());
        const std::size_t member = firstOtherThan(coordinator);
        harness.extraDelay[{coordinator, member}] = 450ms;
        harness.run(2s);
        harness.extraDelay[{member, coordinator}] = 10s;
        harness.run(3s);
        CAPTURE(seed, harness.violation());
        CHECK(harness.violation().empty());
    }
}

TEST_CASE("A coordinator cut off from the platform stops at the hold limit, before another node takes over the cell")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CellHarness::Options options = withSeed(4, seed);
        options.holdLimit = 2s;
        CellHarness harness(options);
        harness.kill(3);
        harness.run(15s);
        REQUIRE(harness.allServed());
        harness.cutFromPlatform = {0, 1, 2};
        harness.isolate(3, true);
        harness.restart(3);
        harness.run(15s);
        CAPTURE(seed, harness.violation());
        CHECK(harness.violation().empty());
        CHECK(harness.shardsOf(3) == options.shards);
    }
}

TEST_CASE("A new document is in force on all nodes within seconds and stays, although the coordinator is lost and the platform is down")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CellHarness harness(withSeed(5, seed));
        harness.run(15s);
        REQUIRE(harness.coordinator() < harness.size());
        harness.platform.put(harness.documentText("target1"));
        harness.run(1500ms);
        harness.platform.down = true;
        const std::size_t lost = harness.coordinator();
        harness.kill(lost);
        const auto took = harness.runUntil([&] { return allHaveDocument(harness, 2); }, 10s);
        CAPTURE(seed);
        REQUIRE(took);
        CHECK(*took + 1500ms <= 7s);
        harness.restart(lost);
        for (int step = 0; step < 100; ++step) {
            harness.run(100ms);
            for (std::size_t node = 0; node < harness.size(); ++node) {
                CHECK((node == lost || harness.cell(node).documentRevision() == DocumentRevision(2)));
            }
        }
        CHECK(harness.shardsOf(lost) == 0);
        harness.platform.down = false;
        CHECK(harness.runUntil([&] { return allHaveDocument(harness, 2); }, 7s));
        CHECK(harness.violation().empty());
    }
}

TEST_CASE("A target that a document removes gets no requests after three seconds, and other targets serve its shards")
{
    const bool coordinatorLost = GENERATE(false, true);
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CellHarness harness(withSeed(5, seed));
        harness.run(25s);
        harness.platform.put(harness.documentText("target1"));
        if (coordinatorLost && harness.coordinator() != 1) {
            harness.kill(harness.coordinator());
        }
        harness.run(3s);
        CAPTURE(seed, coordinatorLost, harness.violation());
        CHECK(harness.shardsOf(1) == 0);
        CHECK(harness.runUntil([&] { return harness.allServed(); }, 1s));
        CHECK(harness.violation().empty());
    }
}

TEST_CASE("A planned stop waits for running requests and hands over all shards with their deduplication memory")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CellHarness harness(withSeed(3, seed));
        harness.run(25s);
        REQUIRE(harness.allServed());
        const bool ofCoordinator = seed % 2 == 0;
        const std::size_t node = ofCoordinator ? harness.coordinator() : firstOtherThan(harness.coordinator());
        std::uint32_t shard = 0;
        while (harness.ownerOf(shard) != node) {
            REQUIRE(++shard < 8);
        }
        DeduplicationEntry entry;
        entry.shard = ShardIndex(shard);
        entry.key = "order";
        harness.activity(node).memory.push_back(entry);
        harness.activity(node).blocking[ShardIndex(shard)] = 1;
        harness.stop(node);
        harness.run(2s);
        CAPTURE(seed, harness.violation());
        CHECK_FALSE(harness.cell(node).isStopped());
        CHECK(harness.ownerOf(shard) == harness.size());
        CHECK(harness.shardsOf(node) == 0);
        harness.activity(node).blocking.clear();
        REQUIRE(harness.runUntil([&] { return harness.cell(node).isStopped(); }, 10s));
        CHECK(harness.runUntil([&] { return harness.allServed(); }, 1s));
        REQUIRE(harness.ownerOf(shard) < harness.size());
        CHECK_FALSE(harness.activity(harness.ownerOf(shard)).memory.empty());
        CHECK(harness.violation().empty());
    }
}

TEST_CASE("A cell of two nodes serves all shards after its coordinator restarts")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CellHarness harness(withSeed(2, seed));
        harness.run(15s);
        REQUIRE(harness.allServed());
        harness.restart(harness.coordinator());
        const auto took = harness.runUntil([&] { return harness.allServed(); }, 10s);
        CAPTURE(seed);
        REQUIRE(took);
        CHECK(*took <= 4s);
        CHECK(harness.violation().empty());
    }
}

TEST_CASE("Nodes join a cell even if the answers to all row writes are lost")
{
    CellHarness harness(withSeed(3, 1));
    harness.platform.losesAnswers = true;
    harness.run(30s);
    REQUIRE(harness.platform.row);
    CHECK(harness.platform.row->row.members.size() == 3);
    CHECK(harness.allServed());
    CHECK(harness.violation().empty());
}

TEST_CASE("An idle cell sends few messages and rarely writes the cell row")
{
    for (const std::size_t nodes : {std::size_t(3), std::size_t(7), std::size_t(16)}) {
        CellHarness harness(withSeed(nodes, 1));
        harness.run(40s);
        REQUIRE(harness.platform.row);
        REQUIRE(harness.platform.row->row.members.size() == nodes);
        const std::uint64_t messages = harness.messages();
        const std::uint64_t writes = harness.platform.writes;
        harness.run(20s);
        CAPTURE(nodes, harness.messages() - messages, harness.platform.writes - writes);
        // Four messages per member and heartbeat interval, two of them sent by the member.
        CHECK((harness.messages() - messages) / (20 * nodes) <= 52);
        CHECK(harness.platform.writes - writes <= 5);
    }
}

TEST_CASE("An owner back from a pause serves no shard that another got meanwhile, although the map sent to it is lost")
{
    for (Duration lossAfterReturn = 0ms; lossAfterReturn < 600ms; lossAfterReturn += 20ms) {
        CellHarness::Options options;
        options.nodes = 3;
        CellHarness harness(options);
        harness.run(20s);
        const std::size_t coordinator = harness.coordinator();
        REQUIRE(coordinator < harness.size());
        const std::size_t paused = (coordinator + 1) % harness.size();
        REQUIRE(harness.shardsOf(paused) > 0);
        harness.cutFromPlatform.insert(paused);
        harness.extraDelay[{coordinator, paused}] = 1h;
        harness.pause(paused, 1800ms);
        harness.run(1800ms + lossAfterReturn);
        harness.extraDelay.clear();
        harness.run(3s);
        INFO("messages lost for " << lossAfterReturn.count() << " us after the return");
        CHECK(harness.violation() == "");
    }
}
