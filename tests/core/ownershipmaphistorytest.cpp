#include "ownershipmaphistory.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <vector>

using namespace nutmeghinge;

namespace {

OwnershipMap makeMap(std::uint64_t term, std::size_t shards)
{
    OwnershipMap map;
    map.version = Fence{Term(term), 1};
    map.shards.resize(shards);
    return map;
}

/** Gives random shards of the map to other owners, as one version. */
void change(OwnershipMap &map)
{
    ++map.version.sequence;
    const auto changed = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, map.shards.size()));
    for (const std::size_t shard : changed) {
        map.shards[shard].owner = MemberSlot(*rc::gen::inRange<std::uint32_t>(1, 4));
        map.shards[shard].fence = map.version;
    }
}

} // namespace

TEST_CASE("A member that misses some changes of the map gets the newest map from the changes since any version that it knows")
{
    rc::prop("changes lead from each earlier version to the latest one", [] {
        OwnershipMap map = makeMap(5, 20);
        OwnershipMapHistory history;
        history.start(map);
        std::vector<OwnershipMap> versions{map};
        // The first version of a new term changes shards too.
        map.version = Fence{Term(6), 1};
        const int steps = *rc::gen::inRange(1, 8);
        for (int i = 0; i < steps; ++i) {
            change(map);
            history.record(map);
            versions.push_back(map);
        }
        for (std::size_t base = 0; base < versions.size(); ++base) {
            const auto changes = history.changesSince(versions[base].version);
            RC_ASSERT(changes.has_value());
            // Since the base was reported, the member may have received further versions of the term.
            for (std::size_t known = base; known < versions.size(); ++known) {
                OwnershipMap applied = versions[known];
                RC_ASSERT(changes->applyTo(applied));
                RC_ASSERT(applied == map);
            }
        }
    });
}

TEST_CASE("A member with a map of an unknown version, or of other shards, gets no changes")
{
    OwnershipMap map = makeMap(5, 8);
    OwnershipMapHistory history;
    history.start(map);
    map.version.sequence = 3;
    history.record(map);
    CHECK(history.changesSince(Fence{Term(5), 2}));
    CHECK_FALSE(history.changesSince(Fence{Term(4), 9}));
    CHECK_FALSE(history.changesSince(Fence{Term(5), 4}));
    CHECK_FALSE(history.changesSince(Fence()));
    map.version.sequence = 4;
    map.shards.resize(9);
    history.record(map);
    CHECK_FALSE(history.changesSince(Fence{Term(5), 3}));
}

TEST_CASE("Changes that do not fit the member's map leave it as it is")
{
    const OwnershipMap before = makeMap(5, 8);
    for (const OwnershipMapChanges &changes : {OwnershipMapChanges{Fence{Term(5), 2}, Fence{Term(5), 3}, {}},
                                               OwnershipMapChanges{Fence{Term(4), 9}, Fence{Term(6), 1}, {}},
                                               OwnershipMapChanges{before.version, Fence{Term(5), 2}, {{ShardIndex(7), 2, {}}}}}) {
        OwnershipMap map = before;
        CHECK_FALSE(changes.applyTo(map));
        CHECK(map == before);
    }
}
