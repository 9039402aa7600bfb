#include "balancestrategy.h"

#include "document.h"
#include "evenloadstrategy.h"
#include "fakeshardcell.h"
#include "statichashingstrategy.h"
#include "steadyownershipstrategy.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>

using namespace nutmeghinge;

namespace {

constexpr std::uint32_t maximumMembers = 9;
constexpr std::uint32_t maximumShards = 200;

std::unique_ptr<BalanceStrategy> arbitraryStrategy()
{
    Document document;
    document.objective = *rc::gen::element(Document::Objective::Imbalance, Document::Objective::UnavailableTime);
    return makeBalanceStrategy(document);
}

/** Generates a cell in an arbitrary state: members eligible or not, cold or leaving; shards owned, unowned, releasing or cooling down. */
FakeShardCell arbitraryCell()
{
    FakeShardCell cell(*rc::gen::inRange(1U, maximumShards));
    cell.document.targetRatio = *rc::gen::element(1.05, 1.2, 2.0);
    const auto members = *rc::gen::inRange(1U, maximumMembers);
    for (std::uint32_t i = 0; i < members; ++i) {
        BalanceMember &member = cell.addMember(*rc::gen::inRange(1U, 40U));
        member.eligible = *rc::gen::inRange(0, 4) != 3;
        member.eligibleFor = std::chrono::milliseconds(*rc::gen::inRange(0, 20000));
        if (*rc::gen::inRange(0, 3) == 0) {
            member.leavesAt = WallTime(std::chrono::seconds(*rc::gen::inRange(1, 5)));
        }
    }
    for (std::size_t shard = 0; shard < cell.map.shards.size(); ++shard) {
        ShardOwnership &ownership = cell.map.shards[shard];
        ownership.state = *rc::gen::element(ShardOwnership::State::Unowned, ShardOwnership::State::Owned, ShardOwnership::State::Releasing);
        ownership.owner = MemberSlot(*rc::gen::inRange(0U, members + 2));
        ownership.next = MemberSlot(*rc::gen::inRange(0U, members + 2));
        cell.cooling[shard] = *rc::gen::inRange(0, 4) == 0;
        cell.loads[shard] = *rc::gen::inRange<std::uint64_t>(0, 50000);
    }
    return cell;
}

const BalanceMember *memberAt(const FakeShardCell &cell, MemberSlot slot)
{
    const auto found = std::find_if(cell.members.begin(), cell.members.end(), [&](const BalanceMember &member) { return member.slot == slot; });
    return found == cell.members.end() ? nullptr : &*found;
}

bool isEligible(const FakeShardCell &cell, MemberSlot slot)
{
    const BalanceMember *member = memberAt(cell, slot);
    return member && member->eligible;
}

/** Returns a cell with equal members in which the strategy plans no more moves. */
FakeShardCell settledCell(std::uint32_t members, std::uint32_t shards, const BalanceStrategy &strategy)
{
    FakeShardCell cell(shards);
    for (std::uint32_t i = 0; i < members; ++i) {
        cell.addMember();
    }
    cell.settle(strategy);
    return cell;
}

/** Gives every sixth shard nine times the load of the others. */
void setSkewedLoads(FakeShardCell &cell)
{
    for (std::size_t shard = 0; shard < cell.loads.size(); ++shard) {
        cell.loads[shard] = shard % 6 == 0 ? 9000 : 1000;
    }
}

} // namespace

TEST_CASE("A plan is valid in any state of a cell")
{
    rc::prop("each shard moves at most once, to an eligible member and within the budget", [] {
        const FakeShardCell cell = arbitraryCell();
        const auto strategy = arbitraryStrategy();
        const auto budget = *rc::gen::inRange(0U, 20U);
        const std::vector<PlannedMove> moves = strategy->plan(cell.input(budget));

        std::uint32_t balancingMoves = 0;
        std::map<ShardIndex, int> seen;
        for (const PlannedMove &move : moves) {
            const ShardOwnership &before = cell.map.shards.at(move.shard.value());
            RC_ASSERT(isEligible(cell, move.to));
            RC_ASSERT(++seen[move.shard] == 1);
            RC_ASSERT(before.state != ShardOwnership::State::Releasing);
            if (before.state == ShardOwnership::State::Owned && isEligible(cell, before.owner)) {
                ++balancingMoves;
                RC_ASSERT(move.to != before.owner);
                RC_ASSERT(!cell.cooling[move.shard.value()]);
            }
        }
        RC_ASSERT(balancingMoves <= budget);
    });

    rc::prop("all shards that are unowned or owned by ineligible members get an eligible owner", [] {
        FakeShardCell cell = arbitraryCell();
        cell.members.front().eligible = true;
        cell.apply(arbitraryStrategy()->plan(cell.input(0)));
        for (const ShardOwnership &ownership : cell.map.shards) {
            RC_ASSERT((ownership.state == ShardOwnership::State::Releasing || isEligible(cell, ownership.owner)));
        }
    });
}

TEST_CASE("Repeated planning converges")
{
    rc::prop("repeated planning reaches a state without moves with any budget", [] {
        FakeShardCell cell = arbitraryCell();
        const auto strategy = arbitraryStrategy();
        const auto budget = *rc::gen::element(1U, 7U, 1000U);
        const std::optional<std::size_t> moves = cell.settle(*strategy, budget);
        RC_ASSERT(moves.has_value());
    });

    rc::prop("load changes within the band cause no moves in a balanced cell", [] {
        FakeShardCell cell = settledCell(*rc::gen::inRange(2U, maximumMembers), 240, EvenLoadStrategy());
        for (std::uint64_t &load : cell.loads) {
            load = *rc::gen::inRange<std::uint64_t>(970, 1030);
        }
        RC_ASSERT(EvenLoadStrategy().plan(cell.input()).empty());
    });
}

TEST_CASE("EvenLoadStrategy brings the peak load within the target ratio if shards are small enough")
{
    rc::prop("the ratio of peak to mean load per slot is at most the target ratio", [] {
        FakeShardCell cell(*rc::gen::inRange(100U, maximumShards));
        const auto members = *rc::gen::inRange(1U, maximumMembers);
        for (std::uint32_t i = 0; i < members; ++i) {
            cell.addMember(*rc::gen::inRange(10U, 20U));
        }
        for (std::size_t shard = 0; shard < cell.loads.size(); ++shard) {
            cell.loads[shard] = *rc::gen::inRange<std::uint64_t>(1000, 4000);
            cell.map.shards[shard] = {ShardOwnership::State::Owned, MemberSlot(*rc::gen::inRange(1U, members + 1)), noMember, {}};
        }
        const double total = static_cast<double>(std::accumulate(cell.loads.begin(), cell.loads.end(), std::uint64_t{0}));
        // The largest shard must fit into the load that the target ratio allows on the smallest member in excess of the mean.
        RC_PRE(4000.0 <= (cell.document.targetRatio - 1) * total * 10 / (20.0 * members));
        RC_ASSERT(cell.settle(EvenLoadStrategy()).has_value());
        RC_ASSERT(cell.peakRatio() <= cell.document.targetRatio + 1e-9);
    });
}

TEST_CASE("No shard moves twice while a cell shrinks")
{
    rc::prop("each shard moves at most once while members leave one by one", [] {
        const auto members = *rc::gen::inRange(2U, maximumMembers);
        // With fewer shards per member, a single shard can overload a member.
        FakeShardCell cell(members * *rc::gen::inRange(8U, 30U));
        const auto strategy = arbitraryStrategy();
        for (std::uint32_t i = 0; i < members; ++i) {
            cell.addMember();
        }
        for (std::uint64_t &load : cell.loads) {
            load = *rc::gen::inRange<std::uint64_t>(1000, 3000);
        }
        RC_ASSERT(cell.settle(*strategy).has_value());
        std::fill(cell.movesOfShard.begin(), cell.movesOfShard.end(), 0);

        const auto staying = *rc::gen::inRange(1U, members);
        for (std::uint32_t i = staying; i < members; ++i) {
            cell.members[i].leavesAt = WallTime(std::chrono::minutes(*rc::gen::inRange(1, 5)));
        }
        for (int minute = 0; minute <= 5; ++minute) {
            cell.now = WallTime(std::chrono::minutes(minute));
            for (BalanceMember &member : cell.members) {
                member.eligible = !member.leavesAt || *member.leavesAt > *cell.now;
            }
            RC_ASSERT(cell.settle(*strategy).has_value());
        }
        for (const std::uint32_t moves : cell.movesOfShard) {
            RC_ASSERT(moves <= 1U);
        }
    });
}

TEST_CASE("A change of members moves a bounded number of shards")
{
    const std::uint32_t shards = GENERATE(64U, 256U, 1000U);
    const std::uint32_t members = GENERATE(2U, 4U, 5U, 6U, 7U, 40U);
    const EvenLoadStrategy even;
    const SteadyOwnershipStrategy steady;
    const BalanceStrategy &strategy = GENERATE(true, false) ? static_cast<const BalanceStrategy &>(even) : steady;
    FakeShardCell cell = settledCell(members, shards, strategy);

    SECTION("a join moves at most the fair share of the joining member")
    {
        const MemberSlot joiner = cell.addMember().slot;
        const std::optional<std::size_t> moves = cell.settle(strategy);
        REQUIRE(moves);
        CHECK(*moves <= (shards + members) / (members + 1));
        CHECK(cell.shardsOf(joiner) == *moves);
        const double fairShare = static_cast<double>(shards) / (members + 1);
        const double lowestPart = &strategy == &even ? 1 / cell.document.targetRatio : 0.5;
        CHECK(static_cast<double>(cell.shardsOf(joiner)) >= fairShare * lowestPart - 1);
    }
    SECTION("a leave moves only the shards of the leaving member")
    {
        const std::size_t held = cell.shardsOf(cell.members.front().slot);
        cell.members.front().eligible = false;
        CHECK(cell.settle(strategy) == held);
    }
    SECTION("shards of a lost member get another owner even without a move budget")
    {
        cell.members.front().eligible = false;
        cell.apply(strategy.plan(cell.input(0)));
        CHECK(cell.shardsOf(cell.members.front().slot) == 0);
    }
}

TEST_CASE("EvenLoadStrategy moves fewer shards on a join than static hashing and balances skewed load")
{
    FakeShardCell hashed = settledCell(6, 256, StaticHashingStrategy());
    FakeShardCell even = settledCell(6, 256, EvenLoadStrategy());
    setSkewedLoads(hashed);
    setSkewedLoads(even);
    REQUIRE(even.settle(EvenLoadStrategy()));
    // Every sixth shard is hot, and static hashing over six members assigns all of them to one member.
    CHECK(hashed.peakRatio() > 3.0);
    CHECK(even.peakRatio() <= even.document.targetRatio);

    hashed.addMember();
    even.addMember();
    const std::optional<std::size_t> hashedMoves = hashed.settle(StaticHashingStrategy());
    const std::optional<std::size_t> evenMoves = even.settle(EvenLoadStrategy());
    REQUIRE(hashedMoves);
    REQUIRE(evenMoves);
    CHECK(*hashedMoves > 200);
    CHECK(*evenMoves <= 37);
}

TEST_CASE("SteadyOwnershipStrategy moves fewer shards than EvenLoadStrategy and tolerates moderate skew")
{
    FakeShardCell even = settledCell(7, 256, EvenLoadStrategy());
    FakeShardCell steady = even;
    for (std::size_t shard = 0; shard < even.loads.size(); ++shard) {
        even.loads[shard] = even.map.shards[shard].owner == MemberSlot(1) ? 1400 : 1000;
    }
    steady.loads = even.loads;
    CHECK(even.settle(EvenLoadStrategy()).value_or(0) > 0);
    CHECK(steady.settle(SteadyOwnershipStrategy()) == 0);
    for (std::size_t shard = 0; shard < steady.loads.size(); ++shard) {
        steady.loads[shard] *= steady.map.shards[shard].owner == MemberSlot(1) ? 2 : 1;
    }
    CHECK(steady.settle(SteadyOwnershipStrategy()).value_or(0) > 0);
    CHECK(steady.peakRatio() <= 1.5);
}

TEST_CASE("A cold member gets a share of shards in proportion to the time for which it has been eligible")
{
    FakeShardCell cell = settledCell(4, 250, EvenLoadStrategy());
    BalanceMember &joiner = cell.addMember();
    const MemberSlot slot = joiner.slot;
    std::size_t before = 0;
    std::size_t moved = 0;
    for (int second = 1; second <= 10; ++second) {
        cell.members.back().eligibleFor = std::chrono::seconds(second);
        moved += cell.settle(EvenLoadStrategy()).value_or(1000);
        const double share = 250.0 * second / (40 + second);
        CHECK(static_cast<double>(cell.shardsOf(slot)) <= share + 1);
        CHECK(static_cast<double>(cell.shardsOf(slot)) >= share / cell.document.targetRatio - 1);
        CHECK(cell.shardsOf(slot) >= before);
        before = cell.shardsOf(slot);
    }
    CHECK(moved == cell.shardsOf(slot));
}

TEST_CASE("A member that leaves within an hour gets no shards but one that leaves later does")
{
    FakeShardCell cell(60);
    cell.now = WallTime(std::chrono::hours(100));
    cell.addMember().leavesAt = *cell.now + std::chrono::minutes(30);
    cell.addMember().leavesAt = *cell.now + std::chrono::hours(48);
    cell.addMember();
    cell.settle(EvenLoadStrategy());
    CHECK(cell.shardsOf(MemberSlot(1)) == 0);
    CHECK(cell.shardsOf(MemberSlot(2)) == 30);
    CHECK(cell.shardsOf(MemberSlot(3)) == 30);
}

TEST_CASE("Unused hot key entries get no owner")
{
    FakeShardCell cell(10);
    cell.document.shards = 8;
    cell.map.hotKeys = {0, 77};
    cell.addMember();
    cell.apply(EvenLoadStrategy().plan(cell.input()));
    CHECK(cell.map.shards[8].state == ShardOwnership::State::Unowned);
    CHECK(cell.map.shards[9].owner == MemberSlot(1));
}

TEST_CASE("Successors are eligible, in other zones and evenly distributed")
{
    rc::prop("successors are distinct, eligible and not the owner", [] {
        const FakeShardCell cell = arbitraryCell();
        const auto successors = planSuccessors(cell.input());
        RC_ASSERT(successors.size() == cell.map.shards.size());
        for (std::size_t shard = 0; shard < successors.size(); ++shard) {
            const MemberSlot owner = cell.map.shards[shard].owner;
            const auto others =
                std::count_if(cell.members.begin(), cell.members.end(), [&](const BalanceMember &member) { return member.eligible && member.slot != owner; });
            for (const MemberSlot successor : successors[shard]) {
                RC_ASSERT(isEligible(cell, successor));
            }
            const bool isReleasing = cell.map.shards[shard].state == ShardOwnership::State::Releasing;
            if (!isReleasing) {
                RC_ASSERT(std::count(successors[shard].begin(), successors[shard].end(), owner) == 0);
                RC_ASSERT(successors[shard].size() == static_cast<std::size_t>(std::min<std::ptrdiff_t>(2, others)));
            }
            RC_ASSERT((successors[shard].size() < 2 || successors[shard][0] != successors[shard][1]));
        }
    });

    const FakeShardCell cell = settledCell(6, 240, EvenLoadStrategy());
    const auto successors = planSuccessors(cell.input());
    std::map<std::pair<MemberSlot, MemberSlot>, int> firstOfOwner;
    for (std::size_t shard = 0; shard < successors.size(); ++shard) {
        const MemberSlot owner = cell.map.shards[shard].owner;
        REQUIRE(successors[shard].size() == 2);
        for (const MemberSlot successor : successors[shard]) {
            CHECK(memberAt(cell, successor)->zone != memberAt(cell, owner)->zone);
        }
        CHECK(memberAt(cell, successors[shard][0])->zone != memberAt(cell, successors[shard][1])->zone);
        ++firstOfOwner[{owner, successors[shard][0]}];
    }
    // The 40 shards of each owner have four members in other zones as first successors.
    for (const auto &[pair, count] : firstOfOwner) {
        CHECK(count >= 8);
        CHECK(count <= 12);
    }
}

TEST_CASE("The successor that stays longest is first")
{
    FakeShardCell cell(12);
    cell.addMember();
    cell.addMember().leavesAt = WallTime(std::chrono::hours(1));
    cell.addMember();
    for (ShardOwnership &ownership : cell.map.shards) {
        ownership = {ShardOwnership::State::Owned, MemberSlot(1), noMember, {}};
    }
    for (const std::vector<MemberSlot> &each : planSuccessors(cell.input())) {
        CHECK(each == std::vector<MemberSlot>{MemberSlot(3), MemberSlot(2)});
    }
}
