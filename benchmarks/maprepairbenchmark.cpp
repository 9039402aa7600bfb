#include "ownershipmap.h"

#include <benchmark/benchmark.h>
#include <cstring>
#include <random>
#include <vector>
#include <xxhash.h>

/**
 * Compares ways to update a node's outdated copy of the ownership map by bytes and
 * rounds: the whole map, the entries changed since the node's version, and the
 * comparison of two Merkle trees as in "ssb-clock Design: Bloom clocks and Merkle-tree
 * synchronization for Secure Scuttlebutt". Arguments: shards, differing shards per 1000.
 */
namespace nutmeghinge {

namespace {

constexpr std::size_t indexBytes = 4;
constexpr std::size_t entryBytes = 1 + 4 + 4 + 8 + 8;
constexpr std::size_t versionBytes = 16;
constexpr std::size_t hashBytes = 8;
constexpr std::size_t fanOut = 16;
constexpr std::uint64_t seed = 20261203;

struct MapPair {
    OwnershipMap older;
    OwnershipMap newer;
    std::size_t differing = 0;
};

MapPair makeMaps(std::size_t shards, std::size_t differingPerMille)
{
    MapPair maps;
    std::mt19937_64 random(seed);
    for (std::size_t index = 0; index < shards; ++index) {
        ShardOwnership shard{ShardOwnership::State::Owned, MemberSlot(static_cast<std::uint32_t>(random() % 64 + 1)), noMember, Fence{Term(65537), index + 1}};
        maps.older.shards.push_back(shard);
        if (random() % 1000 < differingPerMille) {
            shard.fence.sequence += shards;
            ++maps.differing;
        }
        maps.newer.shards.push_back(shard);
    }
    return maps;
}

std::uint64_t hashOfEntry(const ShardOwnership &shard)
{
    const std::uint64_t fields[]{
        static_cast<std::uint64_t>(shard.state), shard.owner.value(), shard.next.value(), shard.fence.term.value(), shard.fence.sequence};
    return XXH64(fields, sizeof fields, 0);
}

/** Hashes of each level, from the leaves to the root. */
using Tree = std::vector<std::vector<std::uint64_t>>;

Tree makeTree(const OwnershipMap &map)
{
    Tree tree(1);
    for (const ShardOwnership &shard : map.shards) {
        tree[0].push_back(hashOfEntry(shard));
    }
    while (tree.back().size() > 1) {
        const std::vector<std::uint64_t> &below = tree.back();
        std::vector<std::uint64_t> level;
        for (std::size_t begin = 0; begin < below.size(); begin += fanOut) {
            const std::size_t count = std::min(fanOut, below.size() - begin);
            level.push_back(XXH64(&below[begin], count * sizeof below[begin], 0));
        }
        tree.push_back(std::move(level));
    }
    return tree;
}

/** Bytes in both directions, and rounds, to find and send the differing entries. */
struct Cost {
    std::size_t bytes = 0;
    std::size_t rounds = 0;
};

Cost compareTrees(const Tree &left, const Tree &right)
{
    Cost cost{2 * hashBytes, 1};
    std::vector<std::size_t> differing;
    if (left.back() != right.back()) {
        differing.push_back(0);
    }
    for (std::size_t level = left.size() - 1; level > 0 && !differing.empty(); --level) {
        std::vector<std::size_t> below;
        for (const std::size_t node : differing) {
            const std::size_t end = std::min((node + 1) * fanOut, left[level - 1].size());
            cost.bytes += indexBytes + (end - node * fanOut) * hashBytes;
            for (std::size_t child = node * fanOut; child < end; ++child) {
                if (left[level - 1][child] != right[level - 1][child]) {
                    below.push_back(child);
                }
            }
        }
        ++cost.rounds;
        differing = std::move(below);
    }
    cost.bytes += differing.size() * (indexBytes + entryBytes);
    return cost;
}

void report(benchmark::State &state, const Cost &cost, std::size_t differing)
{
    state.counters["bytes"] = static_cast<double>(cost.bytes);
    state.counters["rounds"] = static_cast<double>(cost.rounds);
    state.counters["differing"] = static_cast<double>(differing);
}

void wholeMap(benchmark::State &state)
{
    const MapPair maps = makeMaps(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(maps.newer.shards.data());
    }
    report(state, Cost{versionBytes + maps.newer.shards.size() * entryBytes, 1}, maps.differing);
}

void revisionDelta(benchmark::State &state)
{
    const MapPair maps = makeMaps(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
    std::size_t found = 0;
    for (auto _ : state) {
        found = 0;
        for (const ShardOwnership &shard : maps.newer.shards) {
            found += shard.fence.sequence > maps.newer.shards.size() ? 1 : 0;
        }
        benchmark::DoNotOptimize(found);
    }
    report(state, Cost{2 * versionBytes + found * (indexBytes + entryBytes), 1}, maps.differing);
}

void merkleTree(benchmark::State &state)
{
    const MapPair maps = makeMaps(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
    Cost cost;
    for (auto _ : state) {
        cost = compareTrees(makeTree(maps.older), makeTree(maps.newer));
        benchmark::DoNotOptimize(cost);
    }
    report(state, cost, maps.differing);
}

void arguments(benchmark::internal::Benchmark *benchmark)
{
    for (const std::int64_t shards : {256, 4096}) {
        for (const std::int64_t differing : {0, 4, 50, 500}) {
            benchmark->Args({shards, differing});
        }
    }
}

BENCHMARK(wholeMap)->Apply(arguments);
BENCHMARK(revisionDelta)->Apply(arguments);
BENCHMARK(merkleTree)->Apply(arguments);

} // namespace

} // namespace nutmeghinge
