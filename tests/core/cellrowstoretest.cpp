#include "cellrowstore.h"
#include "effectlist.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace std::chrono_literals;

namespace {

std::size_t count(const Effects &effects, TimelineRecord::Kind kind)
{
    return static_cast<std::size_t>(std::count_if(effects.begin(), effects.end(), [&](const Effect &effect) {
        const auto *record = std::get_if<Record>(&effect);
        return record && record->record.kind == kind;
    }));
}

} // namespace

TEST_CASE("A write that the platform can never accept is recorded and not repeated at once")
{
    const MonotonicTime start(1000s);
    CellRowStore store{Timings()};
    EffectList effects{HybridTime{}};
    store.write(CellRow(), start, effects);
    REQUIRE(store.isBusy());
    const CellRowWriteFinished refused{ServiceName("desk"), RowRefused{"HTTP status 400"}};
    CHECK(store.writeFinished(refused, start, effects) == CellRowStore::WriteOutcome::Refused);
    for (Duration after = 10ms; after < 9s; after += 100ms) {
        store.write(CellRow(), start + after, effects);
        REQUIRE_FALSE(store.isBusy());
    }
    // The store can be read meanwhile, and the table does not count as unavailable.
    CHECK(store.retryAt() <= start);
    store.write(CellRow(), start + 20s, effects);
    CHECK(store.isBusy());
    const Effects all = effects.take();
    CHECK(count(all, TimelineRecord::Kind::RowRefused) == 1);
    CHECK(count(all, TimelineRecord::Kind::PlatformDown) == 0);
}
