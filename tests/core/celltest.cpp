#include "cellharness.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace std::chrono_literals;

namespace {

CellHarness::Options withNodes(std::size_t nodes)
{
    CellHarness::Options options;
    options.nodes = nodes;
    return options;
}

/** Runs until all shards are served. Returns the elapsed time, or nothing after 30 s. */
std::optional<Duration> timeUntilServed(CellHarness &harness)
{
    return harness.runUntil([&] { return harness.allServed(); }, 30s);
}

} // namespace

TEST_CASE("A single node creates its cell and serves all shards")
{
    CellHarness harness(withNodes(1));
    const auto took = timeUntilServed(harness);
    REQUIRE(took);
    INFO(took->count());
    CHECK(*took < 3s);
    CHECK(harness.violation().empty());
}

TEST_CASE("Announced nodes join the same cell")
{
    CellHarness harness(withNodes(3));
    const auto joined = harness.runUntil([&] { return harness.platform.row && harness.platform.row->row.members.size() == 3; }, 20s);
    REQUIRE(joined);
    harness.run(30s);
    CHECK(harness.allServed());
    CHECK(harness.violation().empty());
    for (std::size_t node = 0; node < 3; ++node) {
        CHECK(harness.shardsOf(node) > 0);
    }
}

namespace {

/** Kills the nodes returned by victims. Returns the longest time until all shards are served again, over several seeds. */
Duration longestUnavailable(bool platformDown, const std::function<std::vector<std::size_t>(const CellHarness &)> &victims)
{
    Duration longest{0};
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CellHarness::Options options = withNodes(5);
        options.seed = seed;
        CellHarness harness(options);
        harness.run(20s);
        REQUIRE(harness.allServed());
        harness.platform.down = platformDown;
        for (const std::size_t node : victims(harness)) {
            harness.kill(node);
        }
        const auto took = timeUntilServed(harness);
        CAPTURE(seed, harness.violation());
        REQUIRE(took);
        longest = std::max(longest, *took);
    }
    return longest;
}

} // namespace

TEST_CASE("Shards of lost nodes are served again within one second")
{
    const bool platformDown = GENERATE(false, true);
    CAPTURE(platformDown);
    SECTION("an owner")
    {
        CHECK(
            longestUnavailable(platformDown, [](const CellHarness &harness) { return std::vector<std::size_t>{(harness.coordinator() + 1) % harness.size()}; })
            <= 1s);
    }
    SECTION("the coordinator")
    {
        CHECK(longestUnavailable(platformDown, [](const CellHarness &harness) { return std::vector<std::size_t>{harness.coordinator()}; }) <= 1s);
    }
    SECTION("the coordinator and an owner")
    {
        CHECK(longestUnavailable(platformDown,
                                 [](const CellHarness &harness) {
                                     const std::size_t coordinator = harness.coordinator();
                                     return std::vector<std::size_t>{coordinator, (coordinator + 1) % harness.size()};
                                 })
              <= 1s);
    }
    SECTION("the coordinator's zone")
    {
        CHECK(longestUnavailable(platformDown,
                                 [](const CellHarness &harness) {
                                     const std::size_t coordinator = harness.coordinator();
                                     const std::size_t other = coordinator >= 3 ? coordinator - 3 : coordinator + 3;
                                     return other < harness.size() ? std::vector<std::size_t>{coordinator, other} : std::vector<std::size_t>{coordinator};
                                 })
              <= 1s);
    }
}
