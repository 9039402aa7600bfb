#include "targetratelimit.h"
#include "targetstatement.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace std::chrono_literals;

namespace {

using Change = TargetRateLimit::Change;

TargetStatement limitOf(double rate)
{
    TargetStatement statement;
    statement.limit = RequestRate(rate);
    return statement;
}

MonotonicTime at(Duration time)
{
    return MonotonicTime(time);
}

} // namespace

TEST_CASE("A limit is in force from the first answer that names it until answers have not named it for a while", "[limit]")
{
    TargetRateLimit limit;
    CHECK(limit.stated({}, at(1s)) == Change::None);
    CHECK(limit.stated(limitOf(4), at(2s)) == Change::Named);
    CHECK(limit.rate() == RequestRate(4));
    CHECK(limit.stated(limitOf(4), at(2500ms)) == Change::None);
    CHECK(limit.stated({}, at(4s)) == Change::None);
    CHECK(limit.rate() == RequestRate(4));
    CHECK(limit.stated({}, at(4600ms)) == Change::Ended);
    CHECK_FALSE(limit.rate());
}

TEST_CASE("A limit that only some answers name stays in force", "[limit]")
{
    TargetRateLimit limit;
    for (Duration time = 1s; time < 60s; time += 250ms) {
        const bool names = (time / 250ms) % 2 == 0;
        limit.stated(names ? limitOf(4) : TargetStatement(), at(time));
        CHECK(limit.rate() == RequestRate(4));
    }
}

TEST_CASE("Of limits that change with each answer the lowest counts", "[limit]")
{
    TargetRateLimit limit;
    limit.stated(limitOf(9), at(1s));
    CHECK(limit.stated(limitOf(3), at(1100ms)) == Change::Lowered);
    for (Duration time = 1200ms; time < 20s; time += 100ms) {
        limit.stated(limitOf((time / 100ms) % 2 == 0 ? 20 : 3), at(time));
        CHECK(limit.rate() == RequestRate(3));
    }
    CHECK(limit.stated(limitOf(20), at(22500ms)) == Change::Raised);
}

TEST_CASE("A limit that cannot be read changes nothing", "[limit]")
{
    TargetRateLimit limit;
    limit.stated(limitOf(3), at(1s));
    TargetStatement unreadable;
    unreadable.problem = "the limit is not a number";
    CHECK(limit.stated(unreadable, at(30s)) == Change::None);
    CHECK(limit.rate() == RequestRate(3));
}

TEST_CASE("A limit known from another node counts until the target has answered", "[limit]")
{
    TargetRateLimit limit;
    CHECK(limit.relayed(RequestRate(3), at(1s)) == Change::Named);
    CHECK(limit.stated(limitOf(5), at(4s)) == Change::Raised);
    CHECK(limit.relayed(RequestRate(3), at(5s)) == Change::None);
    CHECK(limit.rate() == RequestRate(5));
}
