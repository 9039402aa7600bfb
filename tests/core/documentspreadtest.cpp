#include "targetleaseharness.h"

#include <catch2/catch.hpp>

#include <array>
#include <cstdlib>

using namespace nutmeghinge;
using namespace std::chrono_literals;

namespace {

/** Time within which a document has to be in force, as the users state it. */
constexpr Duration applyLimit = 2s;
/** Time after a fault from which the users count a node, or the platform, as undisturbed. */
constexpr Duration calmTime = 3s;
constexpr Duration changeInterval = 700ms;

/** A fault that begins at one time and ends at another; end may do nothing. */
struct Fault {
    const char *name;
    void (*begin)(TargetLeaseHarness &cell, Duration length);
    void (*end)(TargetLeaseHarness &cell);
};

void nothing(TargetLeaseHarness &) { }

/** Returns the coordinator, or the first node if there is none. */
std::size_t coordinatorOf(const TargetLeaseHarness &cell)
{
    return cell.coordinator().value_or(0);
}

void restartEnded(TargetLeaseHarness &cell)
{
    for (std::size_t node = 0; node < cell.size(); ++node) {
        if (!cell.isUp(node)) {
            cell.startNode(node);
        }
    }
}

void setQuarterCut(TargetLeaseHarness &cell, bool cut)
{
    for (std::size_t node = 0; node < cell.size(); node += 4) {
        cell.setCutFromPlatform(node, cut);
    }
}

void endIsolation(TargetLeaseHarness &cell)
{
    for (std::size_t node = 0; node < cell.size(); ++node) {
        if (cell.isIsolated(node)) {
            cell.setIsolated(node, false);
        }
    }
}

const std::array faults{
    Fault{"all connections fall silent", [](TargetLeaseHarness &cell, Duration) { cell.silenceConnections(); }, nothing},
    Fault{"the table is restored", [](TargetLeaseHarness &cell, Duration length) { cell.restorePlatform(length, 300ms); }, nothing},
    Fault{"the platform is silent",
          [](TargetLeaseHarness &cell, Duration) { cell.setPlatformSilent(true); },
          [](TargetLeaseHarness &cell) { cell.setPlatformSilent(false); }},
    Fault{"a quarter of the nodes are cut from the platform",
          [](TargetLeaseHarness &cell, Duration) { setQuarterCut(cell, true); },
          [](TargetLeaseHarness &cell) { setQuarterCut(cell, false); }},
    Fault{"the history is dropped", [](TargetLeaseHarness &cell, Duration) { cell.dropHistory(); }, nothing},
    Fault{"the coordinator is killed", [](TargetLeaseHarness &cell, Duration) { cell.killNode(coordinatorOf(cell)); }, restartEnded},
    Fault{"the coordinator is paused", [](TargetLeaseHarness &cell, Duration length) { cell.pauseNode(coordinatorOf(cell), length); }, nothing},
    Fault{"the coordinator is cut from all nodes", [](TargetLeaseHarness &cell, Duration) { cell.setIsolated(coordinatorOf(cell), true); }, endIsolation},
    Fault{"the platform refuses all calls",
          [](TargetLeaseHarness &cell, Duration) { cell.setPlatformRefusing(true); },
          [](TargetLeaseHarness &cell) { cell.setPlatformRefusing(false); }},
    Fault{"the platform is slow",
          [](TargetLeaseHarness &cell, Duration) { cell.setPlatformDelay(350ms); },
          [](TargetLeaseHarness &cell) { cell.setPlatformDelay(TargetLeaseHarness::normalPlatformDelay); }},
    Fault{"a tenth of the messages between nodes are lost",
          [](TargetLeaseHarness &cell, Duration) { cell.lossPerMille = 100; },
          [](TargetLeaseHarness &cell) { cell.lossPerMille = 0; }},
    Fault{"all nodes are killed",
          [](TargetLeaseHarness &cell, Duration) {
              for (std::size_t node = 0; node < cell.size(); ++node) {
                  cell.killNode(node);
              }
          },
          restartEnded},
};

/** Changes the document again and again while two faults overlap, and returns the longest time for which a calm node used an older one. */
Duration longestDelayUnder(const Fault &first, const Fault &second, std::size_t nodes, std::uint64_t seed)
{
    TargetLeaseHarness cell(nodes, seed);
    REQUIRE(cell.runUntilAllHeld(20s));
    const Duration firstEnd = std::chrono::milliseconds(500 + cell.random(4000));
    const Duration secondBegin = std::chrono::milliseconds(cell.random(3000));
    const Duration secondEnd = secondBegin + std::chrono::milliseconds(500 + cell.random(4000));
    Duration longest{0};
    constexpr Duration step = 50ms;
    const auto isAt = [&](Duration now, Duration at) { return now <= at && at < now + step; };
    Duration nextChange{0};
    for (Duration now{0}; now < std::max(firstEnd, secondEnd) + calmTime + 10s && cell.violation().empty(); now += step) {
        if (isAt(now, Duration(0))) {
            first.begin(cell, firstEnd);
        }
        if (isAt(now, secondBegin)) {
            second.begin(cell, secondEnd - secondBegin);
        }
        if (isAt(now, firstEnd)) {
            first.end(cell);
        }
        if (isAt(now, secondEnd)) {
            second.end(cell);
        }
        if (now >= nextChange) {
            nextChange += changeInterval;
            cell.putDocument();
        }
        cell.run(step);
        longest = std::max(longest, cell.longestDocumentDelay(calmTime).value_or(Duration(0)));
    }
    CHECK(cell.violation().empty());
    return longest;
}

/** Plays each pair of faults with each of the seeds. */
void playPairs(std::size_t nodes, std::uint64_t firstSeed, std::uint64_t seeds)
{
    for (std::size_t first = 0; first < faults.size(); ++first) {
        for (std::size_t second = first; second < faults.size(); ++second) {
            for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
                const Duration longest = longestDelayUnder(faults[first], faults[second], nodes, seed);
                INFO(nodes << " nodes, seed " << seed << ": " << faults[first].name << ", then " << faults[second].name);
                CHECK(longest <= applyLimit);
            }
        }
    }
}

/** Returns the number of seeds to play; NUTMEGHINGE_SPREAD_SEEDS raises it for runs by hand. */
std::uint64_t seedsPerPair()
{
    const char *text = std::getenv("NUTMEGHINGE_SPREAD_SEEDS");
    return text == nullptr ? 1 : std::stoull(text);
}

} // namespace

TEST_CASE("Calm nodes use no document longer than the limit after a newer one, under each pair of faults with 12 nodes", "[documents]")
{
    playPairs(12, 1, seedsPerPair());
}

TEST_CASE("Calm nodes use no document longer than the limit after a newer one, under each pair of faults with 62 nodes", "[documents]")
{
    playPairs(62, 1, seedsPerPair());
}

TEST_CASE("Calm nodes use no document longer than the limit after a newer one, under each pair of faults with 89 nodes", "[documents]")
{
    playPairs(89, 1, seedsPerPair());
}
