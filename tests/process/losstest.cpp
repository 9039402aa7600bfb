#include "deskcluster.h"

#include <catch2/catch.hpp>

#include <csignal>

TEST_CASE("A key is served again after the loss of its owner's VM")
{
    DeskCluster desk(4);
    TestSeat *owner = desk.cluster().ownerOf("teak");
    REQUIRE(owner);
    const std::string lost = owner->name;

    owner->node.reset();
    owner->target.reset();

    CHECK(desk.waitUntilServedByOther(desk.otherThan(*owner), "teak", lost));
    CHECK(desk.cluster().waitUntilServed(deskShards));
}

TEST_CASE("Keys are served again after the loss of the coordinator's VM while the platform is down")
{
    DeskCluster desk(4);
    TestSeat *coordinator = desk.coordinator();
    REQUIRE(coordinator);
    TestCluster::control(desk.cluster().platform(), {{"down", true}});

    coordinator->node.reset();
    coordinator->target.reset();

    CHECK(desk.cluster().waitUntilServed(deskShards));
}

TEST_CASE("An owner that was frozen longer than its lease serves nothing it has lost")
{
    DeskCluster desk(4);
    TestSeat *owner = desk.cluster().ownerOf("teak");
    REQUIRE(owner);
    const TestSeat &entry = desk.otherThan(*owner);

    owner->node->sendSignal(SIGSTOP);
    owner->target->sendSignal(SIGSTOP);
    REQUIRE(desk.waitUntilServedByOther(entry, "teak", owner->name));
    REQUIRE(desk.order(entry, "teak", "order-while-frozen").status == 200);
    owner->node->sendSignal(SIGCONT);
    owner->target->sendSignal(SIGCONT);

    const BlockingAnswer answer = desk.order(*owner, "teak", "order-after-return");
    CHECK(answer.status == 200);
    CHECK(desk.runsOf("order-while-frozen") == 1);
    CHECK(desk.runsOf("order-after-return") == 1);
}

TEST_CASE("An order sent to a frozen target is run once or its outcome is unknown")
{
    DeskCluster desk(4);
    TestSeat *owner = desk.cluster().ownerOf("teak");
    REQUIRE(owner);
    owner->target->sendSignal(SIGSTOP);

    const BlockingAnswer answer = desk.order(desk.otherThan(*owner), "teak", "order-to-frozen");
    owner->target->sendSignal(SIGCONT);

    // The frozen target may still run what its socket holds, so the runs are counted when it has answered.
    const int runs = desk.runsOf("order-to-frozen");
    CHECK(runs <= 1);
    if (answer.headers.contains("nutmeghinge-outcome") && answer.headers.at("nutmeghinge-outcome") == "not-run") {
        CHECK(runs == 0);
    }
}

TEST_CASE("A restarted node serves again with a new incarnation")
{
    DeskCluster desk(3);
    TestSeat &seat = desk.cluster().seat(0);
    const auto before = desk.cluster().status(seat).at("incarnation").get<std::uint64_t>();

    seat.node.reset();
    desk.cluster().startNode(seat);

    CHECK(TestCluster::waitUntil([&] { return !desk.cluster().status(seat).value("serving", nlohmann::json::array()).empty(); }));
    CHECK(desk.cluster().status(seat).at("incarnation").get<std::uint64_t>() > before);
    CHECK(desk.cluster().waitUntilServed(deskShards));
}
