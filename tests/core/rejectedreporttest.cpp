#include "targetleaseharness.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace std::chrono_literals;

TEST_CASE("An announcement that the cell rejects sends no request to the endpoint in it")
{
    TargetLeaseHarness cell(3, 41);
    REQUIRE(cell.runUntilAllHeld(5s));
    cell.run(2s);
    std::vector<Endpoint> endpoints;
    cell.requestEffects = [&](std::size_t, const Effect &effect) {
        if (const auto *send = std::get_if<SendToTarget>(&effect)) {
            endpoints.push_back(send->endpoint);
        }
    };
    REQUIRE(cell.requestOnce(1, RequestId(1)));
    TargetAnnounced foreign;
    foreign.service = ServiceName("no-such-service");
    foreign.target = cell.runningTarget(1)->name;
    foreign.targetIncarnation = cell.runningTarget(1)->incarnation;
    foreign.endpoint = Endpoint{"10.0.0.2", 9};
    foreign.slots = 9;
    foreign.sequence = 1000;
    cell.notify(1, foreign);
    REQUIRE(cell.requestOnce(1, RequestId(2)));
    REQUIRE(endpoints.size() == 2);
    CHECK(endpoints[1] == endpoints[0]);
}
