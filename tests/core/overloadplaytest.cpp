#include "loadplay.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace nutmeghinge::test;
using namespace std::chrono_literals;

TEST_CASE("Under a load of 1.4 times the capacity, short calls are served although orders that take long press", "[load]")
{
    LoadKind order;
    order.name = "order";
    order.perSecond = 30;
    order.meanWork = 210ms;
    order.objective = 600ms;
    order.patience = 1500ms;
    LoadKind call;
    call.name = "call";
    call.perSecond = 50;
    call.meanWork = 40ms;
    call.objective = 150ms;
    call.patience = 500ms;
    call.returns = 0;
    LoadPlay play(6, {order, call});
    const std::map<std::string, LoadResult> results = play.run(60s);
    const LoadResult &calls = results.at("call");
    const LoadResult &orders = results.at("order");
    // A target that waits for a call holds a slot for the whole time, and fails with it.
    CHECK(calls.inObjective + calls.late >= 0.97 * calls.callers);
    // The calls take a third of the capacity; the orders that fit into the rest are served.
    CHECK(orders.inObjective + orders.late >= 0.9 * 4 / 0.21 * 60);
}

TEST_CASE("A target that takes twice the time after its start serves more callers if all of its slots are used at once", "[load]")
{
    const auto served = [](Duration slowStart) {
        LoadKind lookup;
        lookup.perSecond = 25;
        LoadPlay play(6, {lookup}, 4);
        play.setSlowStart(slowStart);
        play.setWorkFactor(0s, 2);
        play.setWorkFactor(3s, 1);
        const LoadResult result = play.run(6s).at("lookup");
        return result.inObjective + result.late;
    };
    CHECK(served(0s) >= 1.1 * served(3s));
}
