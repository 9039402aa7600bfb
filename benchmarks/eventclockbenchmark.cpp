#include "hybridtime.h"

#include <array>
#include <benchmark/benchmark.h>
#include <random>
#include <vector>

/**
 * Compares clocks for the timeline by bytes per record and by the share of event
 * pairs that they order wrongly: the hybrid logical clock, and the Bloom clock of
 * "ssb-clock Design: Bloom clocks and Merkle-tree synchronization for Secure
 * Scuttlebutt". A vector clock gives the true order. Argument: counters of the Bloom clock.
 */
namespace nutmeghinge {

namespace {

constexpr std::size_t nodeCount = 16;
constexpr std::size_t eventCount = 1200;
constexpr std::uint64_t seed = 20261203;
constexpr std::size_t hashFunctions = 3;
constexpr std::size_t counterBytes = 2;
constexpr std::size_t hybridBytes = 12;
/** On average, one of this number of events receives the clock of another node. */
constexpr std::uint64_t eventsPerReceive = 3;
constexpr std::int64_t skewMilliseconds = 50;

using VectorClock = std::array<std::uint32_t, nodeCount>;
using BloomClock = std::vector<std::uint16_t>;

struct Stamp {
    VectorClock vector{};
    BloomClock bloom;
    HybridTime hybrid;
};

template <typename Clock>
bool isBeforeOrEqual(const Clock &left, const Clock &right)
{
    for (std::size_t index = 0; index < left.size(); ++index) {
        if (left[index] > right[index]) {
            return false;
        }
    }
    return true;
}

template <typename Clock>
void merge(Clock &clock, const Clock &other)
{
    for (std::size_t index = 0; index < clock.size(); ++index) {
        clock[index] = std::max(clock[index], other[index]);
    }
}

HybridTime advance(HybridTime own, HybridTime received, WallTime wall)
{
    const HybridTime latest = std::max(own, received);
    return wall > latest.wall ? HybridTime{wall, 0} : HybridTime{latest.wall, latest.counter + 1};
}

/** Returns random events of all nodes; the wall clock of each node has a constant skew. */
std::vector<Stamp> makeEvents(std::size_t bloomCounters)
{
    std::mt19937_64 random(seed);
    std::array<Stamp, nodeCount> nodes;
    std::array<std::int64_t, nodeCount> skew{};
    for (std::size_t node = 0; node < nodeCount; ++node) {
        nodes[node].bloom.resize(bloomCounters);
        skew[node] = static_cast<std::int64_t>(random() % (2 * skewMilliseconds)) - skewMilliseconds;
    }
    std::vector<Stamp> events;
    for (std::size_t event = 0; event < eventCount; ++event) {
        const std::size_t node = random() % nodeCount;
        Stamp &own = nodes[node];
        HybridTime received;
        if (random() % eventsPerReceive == 0) {
            const Stamp &other = nodes[random() % nodeCount];
            merge(own.vector, other.vector);
            merge(own.bloom, other.bloom);
            received = other.hybrid;
        }
        ++own.vector[node];
        for (std::size_t hash = 0; hash < hashFunctions; ++hash) {
            ++own.bloom[random() % bloomCounters];
        }
        const WallTime wall(std::chrono::milliseconds(static_cast<std::int64_t>(event) + skew[node] + 2 * skewMilliseconds));
        own.hybrid = advance(own.hybrid, received, wall);
        events.push_back(own);
    }
    return events;
}

struct PairCounts {
    std::uint64_t causal = 0;
    std::uint64_t concurrent = 0;
    /** Causal pairs that the hybrid clock orders the other way round. */
    std::uint64_t hybridReversed = 0;
    /** Concurrent pairs that the Bloom clock reports as causal. */
    std::uint64_t bloomFalselyOrdered = 0;
};

PairCounts countPairs(const std::vector<Stamp> &events)
{
    PairCounts pairs;
    for (std::size_t later = 1; later < events.size(); ++later) {
        for (std::size_t earlier = 0; earlier < later; ++earlier) {
            const Stamp &first = events[earlier];
            const Stamp &second = events[later];
            if (isBeforeOrEqual(first.vector, second.vector)) {
                ++pairs.causal;
                pairs.hybridReversed += first.hybrid < second.hybrid ? 0 : 1;
            } else {
                ++pairs.concurrent;
                pairs.bloomFalselyOrdered += isBeforeOrEqual(first.bloom, second.bloom) || isBeforeOrEqual(second.bloom, first.bloom) ? 1 : 0;
            }
        }
    }
    return pairs;
}

void compareClocks(benchmark::State &state)
{
    const auto counters = static_cast<std::size_t>(state.range(0));
    PairCounts pairs;
    for (auto _ : state) {
        pairs = countPairs(makeEvents(counters));
        benchmark::DoNotOptimize(pairs);
    }
    state.counters["hybridBytes"] = hybridBytes;
    state.counters["bloomBytes"] = static_cast<double>(counters * counterBytes);
    state.counters["hybridReversedPercent"] = 100.0 * static_cast<double>(pairs.hybridReversed) / static_cast<double>(pairs.causal);
    state.counters["bloomFalsePercent"] = 100.0 * static_cast<double>(pairs.bloomFalselyOrdered) / static_cast<double>(pairs.concurrent);
}

BENCHMARK(compareClocks)->Arg(8)->Arg(16)->Arg(32)->Arg(64)->Arg(128)->Iterations(1);

} // namespace

} // namespace nutmeghinge
