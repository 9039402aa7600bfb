#include "documentfollower.h"
#include "cellcontext.h"
#include "documentformat.h"
#include "effectlist.h"
#include "fakeactivity.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace std::chrono_literals;

namespace {

/** A DocumentFollower with a clock that the test advances. */
struct Setup {
    Setup()
        : context(identity(), Timings::forHeartbeatsOf(1s), activity, nullptr)
        , follower(context)
    {
    }

    static NodeIdentity identity()
    {
        NodeIdentity result;
        result.service = ServiceName("roster");
        result.cell = ServiceName("all");
        return result;
    }
    static DocumentCopy document(std::uint64_t revision) { return {DocumentRevision(revision), "service: roster\n"}; }

    Effects tickAfter(Duration duration)
    {
        now += duration;
        EffectList effects{HybridTime{}};
        follower.tick(now, effects);
        return effects.take();
    }
    void read(const DocumentRead &answer)
    {
        EffectList effects{HybridTime{}};
        follower.documentRead(answer, now, effects);
    }
    void followed(const DocumentFollowed &answer)
    {
        EffectList effects{HybridTime{}};
        follower.documentFollowed(answer, now, effects);
    }
    bool reads(Duration after = 0s)
    {
        const Effects effects = tickAfter(after);
        return effects.size() == 1 && std::holds_alternative<ReadDocument>(effects.front());
    }
    std::optional<std::uint64_t> followsAfter(Duration after = 0s)
    {
        const Effects effects = tickAfter(after);
        const auto *follow = effects.size() == 1 ? std::get_if<FollowDocument>(&effects.front()) : nullptr;
        return follow ? std::optional(follow->after.value()) : std::nullopt;
    }

    FakeActivity activity;
    CellContext context;
    DocumentFollower follower;
    MonotonicTime now{100s};
};

} // namespace

TEST_CASE("The document is read once, then followed from the table version of that read")
{
    Setup setup;
    CHECK(setup.reads());
    CHECK(setup.tickAfter(1s).empty());
    setup.read({ServiceName("all"), Setup::document(3), RowVersion(40)});
    CHECK(setup.context.documents.revision() == DocumentRevision(3));
    CHECK(setup.followsAfter() == 40);
    setup.followed({Setup::document(5), RowVersion(47)});
    CHECK(setup.context.documents.revision() == DocumentRevision(5));
    CHECK(setup.followsAfter() == 47);
    setup.followed({RowAbsent(), RowVersion(52)});
    CHECK(setup.followsAfter() == 52);
}

TEST_CASE("The row is read again after the platform has lost the history")
{
    Setup setup;
    setup.reads();
    setup.read({ServiceName("all"), Setup::document(3), RowVersion(40)});
    setup.followsAfter();
    setup.followed({HistoryLost(), RowVersion()});
    CHECK(setup.reads());
}

TEST_CASE("A failed call is retried from the same version, with increasing delays")
{
    Setup setup;
    setup.reads();
    setup.read({ServiceName("all"), Setup::document(3), RowVersion(40)});
    setup.followsAfter();
    setup.followed({PlatformUnavailable(), RowVersion()});
    CHECK(setup.tickAfter(100ms).empty());
    CHECK(setup.followsAfter(100ms) == 40);
    for (int failure = 0; failure < 10; ++failure) {
        setup.followed({PlatformUnavailable(), RowVersion()});
        CHECK(setup.followsAfter(600ms) == 40);
    }
}

TEST_CASE("After a failed call, calls do not wait for a change until the platform has answered one")
{
    Setup setup;
    setup.reads();
    setup.read({ServiceName("all"), Setup::document(3), RowVersion(40)});
    const auto waitOf = [&](Duration after) { return std::get<FollowDocument>(setup.tickAfter(after).at(0)).wait; };
    CHECK(waitOf(0s) >= 1s);
    for (int failure = 0; failure < 3; ++failure) {
        setup.followed({PlatformUnavailable(), RowVersion()});
        CHECK(waitOf(600ms) == 0s);
    }
    setup.followed({Setup::document(5), RowVersion(47)});
    CHECK(setup.context.documents.revision() == DocumentRevision(5));
    CHECK(waitOf(0s) >= 1s);
}

TEST_CASE("An older document that arrives late does not replace a newer one")
{
    Setup setup;
    setup.reads();
    setup.read({ServiceName("all"), Setup::document(5), RowVersion(40)});
    setup.followsAfter();
    setup.followed({Setup::document(4), RowVersion(41)});
    CHECK(setup.context.documents.revision() == DocumentRevision(5));
}
