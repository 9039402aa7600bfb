#include "deskcluster.h"

#include <catch2/catch.hpp>

#include <csignal>

TEST_CASE("Another VM serves a key after the owner's VM is lost")
{
    DeskCluster desk(4);
    VmProcesses *owner = desk.cluster().ownerOf("teak");
    REQUIRE(owner);
    const std::string lost = owner->name;

    owner->node.reset();
    owner->target.reset();

    CHECK(desk.waitUntilServedByOther(desk.liveVmOtherThan(*owner), "teak", lost));
    CHECK(desk.cluster().waitUntilServed(deskShards));
}

TEST_CASE("All shards are served again after the coordinator's VM is lost while the platform is down")
{
    DeskCluster desk(4);
    VmProcesses *coordinator = desk.coordinator();
    REQUIRE(coordinator);
    TestCluster::control(desk.cluster().platform(), {{"down", true}});

    coordinator->node.reset();
    coordinator->target.reset();

    CHECK(desk.cluster().waitUntilServed(deskShards));
}

TEST_CASE("An owner that was suspended beyond its lease does not execute requests for keys that it lost")
{
    DeskCluster desk(4);
    VmProcesses *owner = desk.cluster().ownerOf("teak");
    REQUIRE(owner);
    const VmProcesses &entry = desk.liveVmOtherThan(*owner);

    owner->node->sendSignal(SIGSTOP);
    owner->target->sendSignal(SIGSTOP);
    REQUIRE(desk.waitUntilServedByOther(entry, "teak", owner->name));
    REQUIRE(desk.order(entry, "teak", "order-while-frozen").status == 200);
    owner->node->sendSignal(SIGCONT);
    owner->target->sendSignal(SIGCONT);

    const BlockingAnswer answer = desk.order(*owner, "teak", "order-after-return");
    CHECK(answer.status == 200);
    CHECK(desk.countExecutions("order-while-frozen") == 1);
    CHECK(desk.countExecutions("order-after-return") == 1);
}

TEST_CASE("An order sent to a suspended target is executed at most once, and never if it is answered not-run")
{
    DeskCluster desk(4);
    VmProcesses *owner = desk.cluster().ownerOf("teak");
    REQUIRE(owner);
    owner->target->sendSignal(SIGSTOP);

    const BlockingAnswer answer = desk.order(desk.liveVmOtherThan(*owner), "teak", "order-to-frozen");
    owner->target->sendSignal(SIGCONT);

    // The resumed target may still execute requests from its socket buffer, so count the executions by a request to it.
    const int executions = desk.countExecutions("order-to-frozen");
    CHECK(executions <= 1);
    if (answer.headers.contains("nutmeghinge-outcome") && answer.headers.at("nutmeghinge-outcome") == "not-run") {
        CHECK(executions == 0);
    }
}

TEST_CASE("A restarted node serves shards again and has a higher incarnation")
{
    DeskCluster desk(3);
    VmProcesses &vm = desk.cluster().vm(0);
    const auto before = desk.cluster().status(vm).at("incarnation").get<std::uint64_t>();

    vm.node.reset();
    desk.cluster().startNode(vm);

    CHECK(TestCluster::waitUntil([&] { return !desk.cluster().status(vm).value("serving", nlohmann::json::array()).empty(); }));
    CHECK(desk.cluster().status(vm).at("incarnation").get<std::uint64_t>() > before);
    CHECK(desk.cluster().waitUntilServed(deskShards));
}
