#include "loadplay.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace nutmeghinge;
using namespace nutmeghinge::test;
using namespace std::chrono_literals;

namespace {

/** Length of the time over which a target's limit is checked. */
constexpr Duration window = 4s;
/** Time after a limit was first named from which on it binds. */
constexpr Duration settling = 3s;

/** Returns the largest number of requests that were sent within a window that ends in the given time. */
std::size_t mostInWindow(const std::vector<Duration> &sentAt, Duration from, Duration until)
{
    std::size_t most = 0;
    for (std::size_t last = 0; last < sentAt.size(); ++last) {
        if (sentAt[last] < from || sentAt[last] >= until) {
            continue;
        }
        const auto first = std::upper_bound(sentAt.begin(), sentAt.end(), sentAt[last] - window);
        most = std::max(most, last + 1 - static_cast<std::size_t>(first - sentAt.begin()));
    }
    return most;
}

/** Returns the number of requests that a target with this limit may get within a window. */
std::size_t allowed(double limit)
{
    return static_cast<std::size_t>(1.5 * limit * 4 + 5);
}

LoadKind lookups(double perSecond)
{
    LoadKind lookup;
    lookup.perSecond = perSecond;
    lookup.meanWork = 220ms;
    lookup.objective = 600ms;
    lookup.patience = 1500ms;
    return lookup;
}

} // namespace

TEST_CASE("A target that names a limit does not get one and a half times it, plus five, in any four seconds", "[limit]")
{
    for (const double limit : {0.4, 2.9, 3.8, 8.0}) {
        for (const double demand : {5.0, 13.0, 25.0}) {
            LoadPlay play(9, {lookups(demand)}, 3);
            play.setLimit(8s, RequestRate(limit));
            play.run(40s);
            // Half a second after the first answer with the limit, the node counts as knowing it.
            std::vector<Duration> sentAt = play.sentAt();
            std::erase_if(sentAt, [&](Duration time) { return time < play.limitNamedAt() + 500ms; });
            INFO("limit " << limit << ", demand " << demand);
            CHECK(mostInWindow(sentAt, 8s + settling, 40s) <= allowed(limit));
        }
    }
}

TEST_CASE("Requests that a target got just before it named its limit count against the limit", "[limit]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        for (const double limit : {2.9, 3.8, 4.9}) {
            LoadPlay play(9, {lookups(13)}, seed);
            play.setLimit(8s, RequestRate(limit));
            play.run(20s);
            INFO("limit " << limit << ", seed " << seed);
            CHECK(mostInWindow(play.sentAt(), 8s + settling, 20s) <= allowed(limit));
        }
    }
}

TEST_CASE("At 1.7 times a target's limit at least 0.95 of the limit is used", "[limit]")
{
    for (const double limit : {2.9, 8.0, 20.0}) {
        LoadPlay play(9, {lookups(1.7 * limit)}, 5);
        play.setLimit(5s, RequestRate(limit));
        play.run(65s);
        const auto used = std::count_if(play.sentAt().begin(), play.sentAt().end(), [](Duration time) { return time >= 10s && time < 65s; });
        INFO("limit " << limit);
        CHECK(static_cast<double>(used) >= 0.95 * limit * 55);
    }
}

TEST_CASE("A target that takes no requests at present is tried every two seconds, so that the end of its limit is noticed", "[limit]")
{
    LoadPlay play(9, {lookups(10)}, 6);
    play.setLimit(5s, RequestRate(0));
    play.setLimit(20s, std::nullopt);
    play.run(40s);
    const auto sentIn = [&](Duration from, Duration until) {
        return std::count_if(play.sentAt().begin(), play.sentAt().end(), [&](Duration time) { return time >= from && time < until; });
    };
    CHECK(sentIn(9s, 19s) >= 3);
    CHECK(sentIn(9s, 19s) <= 7);
    CHECK(sentIn(32s, 40s) >= 60);
}
