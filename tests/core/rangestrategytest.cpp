#include "rangestrategy.h"
#include "fakeshardcell.h"

#include <catch2/catch.hpp>
#include <map>

using namespace nutmeghinge;

namespace {

std::size_t runsOf(const FakeShardCell &cell, MemberSlot slot)
{
    std::size_t runs = 0;
    for (std::size_t i = 0; i < cell.map.shards.size(); ++i) {
        const bool begins = i == 0 || cell.map.shards[i - 1].owner != slot;
        runs += cell.map.shards[i].owner == slot && begins ? 1 : 0;
    }
    return runs;
}

std::map<MemberSlot, double> loadsOf(const FakeShardCell &cell)
{
    std::map<MemberSlot, double> loads;
    for (std::size_t i = 0; i < cell.map.shards.size(); ++i) {
        loads[cell.map.shards[i].owner] += static_cast<double>(cell.loads[i]);
    }
    return loads;
}

/** Returns a cell with equal members in which every shard has an owner and none is cooling down. */
FakeShardCell settled(std::uint32_t members)
{
    FakeShardCell cell(512);
    cell.document.placedByRange = true;
    for (std::uint32_t i = 0; i < members; ++i) {
        cell.addMember();
    }
    cell.apply(RangeStrategy().plan(cell.input()));
    cell.cooling.assign(512, false);
    return cell;
}

} // namespace

TEST_CASE("Each member of a new cell gets one range in proportion to its slots")
{
    FakeShardCell cell(512);
    cell.addMember(10);
    cell.addMember(30);
    cell.apply(RangeStrategy().plan(cell.input()));
    CHECK(runsOf(cell, MemberSlot(1)) == 1);
    CHECK(runsOf(cell, MemberSlot(2)) == 1);
    const auto first = std::count_if(cell.map.shards.begin(), cell.map.shards.end(), [](const auto &entry) { return entry.owner == MemberSlot(1); });
    CHECK(first >= 120);
    CHECK(first <= 136);
}

TEST_CASE("A busy range of adjacent keys is split in a few rounds of short moves")
{
    FakeShardCell cell = settled(7);
    std::fill(cell.loads.begin(), cell.loads.end(), 100);
    // Two fifths of all requests go to ten adjacent shards.
    std::fill(cell.loads.begin() + 200, cell.loads.begin() + 210, 3400);
    std::size_t moved = 0;
    for (int round = 0; round < 6; ++round) {
        const std::vector<PlannedMove> moves = RangeStrategy().plan(cell.input());
        moved += moves.size();
        cell.apply(moves);
    }
    const auto loads = loadsOf(cell);
    double total = 0;
    double highest = 0;
    for (const auto &[slot, load] : loads) {
        total += load;
        highest = std::max(highest, load);
    }
    CHECK(highest <= 1.5 * total / 7);
    CHECK(moved <= 256);
}

TEST_CASE("A member with a single overloaded shard does not prevent balancing among the other members")
{
    FakeShardCell cell = settled(7);
    std::fill(cell.loads.begin(), cell.loads.end(), 100);
    // One key has more than a seventh of all requests, and the keys of another member have three times their share.
    cell.loads[10] = 20000;
    std::fill(cell.loads.begin() + 300, cell.loads.begin() + 340, 500);
    for (int round = 0; round < 4; ++round) {
        cell.apply(RangeStrategy().plan(cell.input()));
        cell.cooling.assign(512, false);
    }
    const MemberSlot busiest = cell.map.shards[10].owner;
    double others = 0;
    double highest = 0;
    for (const auto &[slot, load] : loadsOf(cell)) {
        others += slot == busiest ? 0 : load;
        highest = slot == busiest ? highest : std::max(highest, load);
    }
    CHECK(highest <= 1.4 * others / 6);
}

TEST_CASE("A slow target gets fewer keys")
{
    FakeShardCell cell(512);
    cell.addMember().serviceTime = std::chrono::milliseconds(100);
    cell.addMember().serviceTime = std::chrono::milliseconds(300);
    cell.apply(RangeStrategy().plan(cell.input()));
    const auto fast = std::count_if(cell.map.shards.begin(), cell.map.shards.end(), [](const auto &entry) { return entry.owner == MemberSlot(1); });
    CHECK(fast > 320);
}

TEST_CASE("Keys of a lost member are distributed in few ranges")
{
    FakeShardCell cell = settled(5);
    cell.members[2].eligible = false;
    for (ShardOwnership &entry : cell.map.shards) {
        if (entry.owner == MemberSlot(3)) {
            entry.state = ShardOwnership::State::Unowned;
        }
    }
    const std::vector<PlannedMove> moves = RangeStrategy().plan(cell.input());
    cell.apply(moves);
    for (const std::uint32_t slot : {1U, 2U, 4U, 5U}) {
        CHECK(runsOf(cell, MemberSlot(slot)) <= 3);
    }
}

TEST_CASE("Recently moved shards stay and the budget limits the other moves")
{
    FakeShardCell cell = settled(3);
    std::fill(cell.loads.begin(), cell.loads.begin() + 100, 1000);
    cell.cooling.assign(512, true);
    CHECK(RangeStrategy().plan(cell.input()).empty());
    cell.cooling.assign(512, false);
    CHECK(RangeStrategy().plan(cell.input(0)).empty());
}

// Guards against an owner of many scattered shards that is relieved of none until its lease ends (review/4).
TEST_CASE("A member with too many runs gives whole runs away")
{
    constexpr std::uint32_t members = 8;
    FakeShardCell cell = settled(members);
    std::fill(cell.loads.begin(), cell.loads.end(), 100);
    for (std::size_t i = 0; i < cell.loads.size(); i += 6) {
        cell.map.shards[i].owner = MemberSlot(1);
    }
    const std::size_t runsBefore = runsOf(cell, MemberSlot(1));
    REQUIRE(runsBefore > 70);
    for (int round = 0; round < 100; ++round) {
        cell.apply(RangeStrategy().plan(cell.input()));
    }
    CHECK(runsOf(cell, MemberSlot(1)) < runsBefore);
    CHECK(loadsOf(cell)[MemberSlot(1)] <= cell.document.targetRatio * 512 * 100 / members);
}
