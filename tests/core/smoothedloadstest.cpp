#include "smoothedloads.h"
#include "fakeshardcell.h"
#include "rangestrategy.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;

namespace {

constexpr std::uint64_t shardLoad = 1000;

/** A cell under a coordinator that has just been elected and knows no load, seen through the reports that reach it. */
class NewTerm
{
public:
    NewTerm(std::uint32_t members, std::uint32_t shardsOfEach)
        : m_cell(members * shardsOfEach)
    {
        m_cell.document.placedByRange = true;
        m_cell.map.version = Fence{Term(2), 1};
        for (std::uint32_t i = 0; i < members; ++i) {
            m_cell.addMember();
        }
        for (std::uint32_t i = 0; i < members * shardsOfEach; ++i) {
            m_cell.map.shards[i] = {ShardOwnership::State::Owned, m_cell.members[i / shardsOfEach].slot, noMember, Fence{Term(1), 1}};
        }
    }

    FakeShardCell &cell() { return m_cell; }
    ShardOwnership &shard(std::uint32_t index) { return m_cell.map.shards[index]; }

    /** The member reports the load for each shard that it owns. */
    void report(MemberSlot member, std::uint64_t load = shardLoad)
    {
        std::vector<ShardLoad> loads;
        for (std::uint32_t i = 0; i < m_cell.map.shards.size(); ++i) {
            if (m_cell.map.shards[i].owner == member && load > 0) {
                loads.push_back({ShardIndex(i), load});
            }
        }
        m_loads.addReport(member, loads, m_cell.map);
    }

    std::uint64_t loadOf(std::uint32_t index) const { return m_loads.loads(m_cell.map.shards.size())[index]; }

    void plan()
    {
        m_cell.loads = m_loads.loads(m_cell.map.shards.size());
        const std::vector<PlannedMove> moves = RangeStrategy().plan(m_cell.input());
        ++m_cell.map.version.sequence;
        for (const PlannedMove &move : moves) {
            m_cell.map.shards[move.shard.value()].fence = m_cell.map.version;
        }
        m_cell.apply(moves);
    }

private:
    FakeShardCell m_cell;
    SmoothedLoads m_loads;
};

} // namespace

// Guards against an owner that is given a third of all keys, because those of lost members counted as idle (review/4).
TEST_CASE("Shards of members that ended before a new coordinator's term go to all others in equal parts")
{
    constexpr std::uint32_t members = 20;
    constexpr std::uint32_t shardsOfEach = 30;
    NewTerm term(members, shardsOfEach);
    for (std::uint32_t lost = 0; lost < members / 2; ++lost) {
        term.cell().members[lost].eligible = false;
    }
    for (std::uint32_t i = 0; i < members / 2 * shardsOfEach; ++i) {
        term.shard(i).state = ShardOwnership::State::Unowned;
    }
    const MemberSlot joined = term.cell().addMember().slot;
    for (std::uint32_t i = members / 2; i < members; ++i) {
        term.report(term.cell().members[i].slot);
    }
    term.plan();
    const std::size_t share = members * shardsOfEach / (members / 2 + 1);
    for (const BalanceMember &member : term.cell().members) {
        INFO("member " << member.slot.value() << (member.slot == joined ? ", which has just joined" : ""));
        CHECK(term.cell().shardsOf(member.slot) <= share * 3 / 2);
    }

    SECTION("and what they were granted counts in the next plan, before they have reported it")
    {
        const std::size_t before = term.cell().shardsOf(joined);
        for (std::uint32_t i = (members - 1) * shardsOfEach; i < members * shardsOfEach; ++i) {
            term.shard(i).state = ShardOwnership::State::Unowned;
        }
        term.cell().members[members - 1].eligible = false;
        term.plan();
        CHECK(term.cell().shardsOf(joined) <= before + shardsOfEach / 2);
    }
}

TEST_CASE("A shard keeps its load while it is handed over and until its new owner has reported a whole interval")
{
    NewTerm term(2, 4);
    term.report(MemberSlot(1));
    CHECK(term.loadOf(0) == shardLoad);
    term.shard(0).state = ShardOwnership::State::Releasing;
    term.report(MemberSlot(1), 1);
    CHECK(term.loadOf(0) == shardLoad);
    CHECK(term.loadOf(1) < shardLoad);
    term.shard(0) = {ShardOwnership::State::Owned, MemberSlot(2), noMember, Fence{Term(2), 2}};
    term.report(MemberSlot(2), shardLoad / 10);
    CHECK(term.loadOf(0) == shardLoad);
    term.report(MemberSlot(2), shardLoad / 10);
    CHECK(term.loadOf(0) < shardLoad);
}

TEST_CASE("The first report of an owner from an earlier term counts in full")
{
    NewTerm term(2, 4);
    CHECK(term.loadOf(0) == 0);
    term.report(MemberSlot(1));
    CHECK(term.loadOf(0) == shardLoad);
    CHECK(term.loadOf(4) == shardLoad);
    term.report(MemberSlot(2), 3 * shardLoad);
    CHECK(term.loadOf(4) == 3 * shardLoad);
}
