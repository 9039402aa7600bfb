#include "cellharness.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace std::chrono_literals;

TEST_CASE("No shard is without an owner for more than 500 ms while nodes join")
{
    Duration longest{0};
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CellHarness::Options options;
        options.nodes = 3;
        options.seed = seed;
        CellHarness harness(options);
        REQUIRE(harness.runUntil([&] { return harness.allServed(); }, 30s));
        Duration gap{0};
        for (Duration elapsed{0}; elapsed < 20s; elapsed += 10ms) {
            harness.run(10ms);
            gap = harness.allServed() ? Duration(0) : gap + 10ms;
            longest = std::max(longest, gap);
        }
        CHECK(harness.violation().empty());
        CHECK(harness.platform.row->row.members.size() == 3);
    }
    INFO("longest gap in ms: " << longest / 1ms);
    CHECK(longest <= 500ms);
}
