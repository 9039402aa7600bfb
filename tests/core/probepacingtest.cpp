#include "requestfixture.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace nutmeghinge::test;
using namespace std::chrono_literals;

namespace {

/** Advances the clock and returns the number of probes that the target would get if one were due each 100 ms. */
int probesIn(RouterFixture &fixture, Duration length)
{
    int probes = 0;
    for (Duration time{0}; time < length; time += 100ms) {
        fixture.m_now += 100ms;
        probes += fixture.m_router.takeProbe(fixture.m_now) ? 1 : 0;
    }
    return probes;
}

TargetStatement limitOf(double rate)
{
    TargetStatement statement;
    statement.limit = RequestRate(rate);
    return statement;
}

} // namespace

TEST_CASE("Probes count against the limit that a target names", "[limit]")
{
    RouterFixture fixture(false, 4);
    CHECK(probesIn(fixture, 4s) == 40);
    fixture.targetStated(limitOf(0.5));
    probesIn(fixture, 2s);
    fixture.targetStated(limitOf(0.5));
    // One and a half times what the limit allows in four seconds, and five.
    CHECK(probesIn(fixture, 4s) <= 8);
}

TEST_CASE("A probe does not take the place of a request that waits for the limit of its target", "[limit]")
{
    RouterFixture fixture(false, 4);
    fixture.targetStated(limitOf(1));
    for (std::uint64_t id = 1; id <= 8; ++id) {
        fixture.arrive(RouterFixture::request(id));
    }
    REQUIRE(fixture.m_router.targetRequests() > 4);
    CHECK(probesIn(fixture, 1s) == 0);
}
