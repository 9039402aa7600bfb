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
    Effects followed(const DocumentFollowed &answer)
    {
        EffectList effects{HybridTime{}};
        follower.documentFollowed(answer, now, effects);
        return effects.take();
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

/** A platform that does not answer for some time; calls sent meanwhile are lost, calls that wait already are answered once it is back. */
struct Outage {
    Duration start;
    Duration end;

    bool covers(Duration at) const { return start <= at && at < end; }
};

/**
 * Follows documents through the outage on virtual time, until a document that is put at the given time, when the platform
 * answers, is in force. Returns how long that takes after the end of the outage. Calls begin at time 0.
 */
Duration lateness(const Outage &outage, Duration putAt)
{
    constexpr Duration step = 10ms;
    Setup setup;
    setup.reads();
    setup.read({ServiceName("all"), Setup::document(3), RowVersion(40)});
    bool calling = false;
    Duration sentAt{0};
    Duration wait{0};
    Duration timeLimit{0};
    for (Duration at{0}; at < outage.end + 30s; at += step) {
        for (const Effect &effect : setup.tickAfter(step)) {
            calling = true;
            sentAt = at;
            wait = std::get<FollowDocument>(effect).wait;
            timeLimit = std::get<FollowDocument>(effect).timeLimit;
        }
        const bool isLost = outage.covers(sentAt) || outage.covers(at);
        const bool isPut = at >= putAt;
        if (calling && isLost && at >= sentAt + timeLimit) {
            calling = false;
            setup.followed({PlatformUnavailable(), RowVersion()});
        } else if (calling && !isLost && isPut) {
            calling = false;
            setup.followed({Setup::document(5), RowVersion(47)});
        } else if (calling && !isLost && at >= sentAt + wait) {
            calling = false;
            setup.followed({RowAbsent(), RowVersion(40)});
        }
        if (setup.context.documents.revision() == DocumentRevision(5)) {
            return at - outage.end;
        }
    }
    return Duration::max();
}

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
    const auto waitOf = [&](Duration after) {
        setup.context.documentFreshness.confirmedByCoordinator(setup.now + after);
        return std::get<FollowDocument>(setup.tickAfter(after).at(0)).wait;
    };
    CHECK(waitOf(0s) >= 1s);
    for (int failure = 0; failure < 3; ++failure) {
        setup.followed({PlatformUnavailable(), RowVersion()});
        CHECK(waitOf(600ms) == 0s);
    }
    setup.followed({Setup::document(5), RowVersion(47)});
    CHECK(setup.context.documents.revision() == DocumentRevision(5));
    CHECK(waitOf(0s) >= 1s);
}

TEST_CASE("A call that waits long is replaced once the coordinator no longer confirms the document, and the next one does not wait")
{
    Setup setup;
    setup.reads();
    setup.read({ServiceName("all"), Setup::document(3), RowVersion(40)});
    setup.context.documentFreshness.confirmedByCoordinator(setup.now);
    CHECK(std::get<FollowDocument>(setup.tickAfter(0s).at(0)).wait >= 1s);
    CHECK(setup.tickAfter(1400ms).empty());
    setup.context.documentFreshness.confirmedByCoordinator(setup.now);
    CHECK(setup.tickAfter(1400ms).empty());
    const Effects replaced = setup.tickAfter(200ms);
    REQUIRE(replaced.size() == 1);
    CHECK(std::get<FollowDocument>(replaced.front()).wait == 0s);
    setup.followed({RowAbsent(), RowVersion(40)});
    CHECK(std::get<FollowDocument>(setup.tickAfter(0s).at(0)).timeLimit < 1500ms);
}

TEST_CASE("A silent outage of the platform does not keep documents out of force for longer than three seconds after it")
{
    for (Duration start = 50ms; start < 9s; start += 470ms) {
        for (Duration length = 300ms; length < 20s; length += 370ms) {
            const Outage outage{start, start + length};
            INFO("outage from " << outage.start.count() << " to " << outage.end.count() << " us");
            CHECK(lateness(outage, outage.end) <= 3s);
            CHECK(lateness(outage, outage.end + 1s) <= 3s);
        }
    }
}

TEST_CASE("A document in force states its source and the longest time by which it can be late")
{
    Setup setup;
    setup.reads();
    setup.read({ServiceName("all"), Setup::document(3), RowVersion(40)});
    setup.followsAfter();
    setup.now += 2300ms;
    const Effects effects = setup.followed({Setup::document(5), RowVersion(47)});
    REQUIRE(effects.size() == 1);
    const TimelineRecord &record = std::get<Record>(effects.front()).record;
    CHECK(record.kind == TimelineRecord::Kind::DocumentInForce);
    CHECK(record.longestDelay == Duration(2300ms));
    CHECK(record.detail == "from the platform");
}

TEST_CASE("After a restoration of the table, a document is read although versions after the known one are given out again")
{
    Setup setup;
    setup.reads();
    setup.read({ServiceName("all"), Setup::document(3), RowVersion(40)});
    CHECK(setup.followsAfter() == 40);
    setup.follower.tableRestored(setup.now);
    CHECK(setup.reads());
    setup.read({ServiceName("all"), Setup::document(5), RowVersion(38)});
    CHECK(setup.context.documents.revision() == DocumentRevision(5));
    CHECK(setup.followsAfter() == 38);
}

TEST_CASE("A restored table with an older document does not replace the one in force")
{
    Setup setup;
    setup.reads();
    setup.read({ServiceName("all"), Setup::document(5), RowVersion(40)});
    setup.followsAfter();
    setup.follower.tableRestored(setup.now);
    setup.reads();
    setup.read({ServiceName("all"), Setup::document(4), RowVersion(30)});
    CHECK(setup.context.documents.revision() == DocumentRevision(5));
    setup.followsAfter();
    setup.followed({Setup::document(6), RowVersion(31)});
    CHECK(setup.context.documents.revision() == DocumentRevision(6));
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
