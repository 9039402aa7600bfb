#include "deskcluster.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>

namespace {

constexpr std::size_t downloadBytes = 200'000'000;

bool servesNothing(const nlohmann::json &status)
{
    return status.value("serving", nlohmann::json::array()).empty();
}

} // namespace

TEST_CASE("A target that is leaving gets no new requests even if the platform fails after the document was edited")
{
    DeskCluster desk(4);
    VmProcesses &leavingVm = desk.cluster().vm(3);
    REQUIRE(desk.cluster().putDocument(desk.document("shrink:\n  - at: \"2026-01-01T00:00:00Z\"\n    leave: [advice-4]\n")) == 0);
    REQUIRE(TestCluster::waitUntil([&] { return desk.cluster().status(desk.cluster().vm(0)).value("document", 0) == 2; }));
    TestCluster::control(desk.cluster().platform(), {{"down", true}});

    CHECK(TestCluster::waitUntil([&] { return servesNothing(desk.cluster().status(leavingVm)); }));
    CHECK(desk.cluster().waitUntilServed(deskShards));
    CHECK(desk.cluster().request(leavingVm, "teak").status == 200);
}

TEST_CASE("A planned stop completes a download and an order in progress")
{
    DeskCluster desk(3);
    VmProcesses *owner = desk.cluster().ownerOf("teak");
    REQUIRE(owner);
    TestCluster::control(owner->targetEndpoint, {{"serviceTimeMs", 800}});
    auto download = std::async(std::launch::async, [&] {
        return desk.cluster().request(*owner, "teak", {"GET", "/download?bytes=" + std::to_string(downloadBytes), {}, {}, 60});
    });
    auto order = std::async(std::launch::async, [&] { return desk.order(*owner, "teak", "order-while-stopping"); });
    REQUIRE(TestCluster::waitUntil([&] { return desk.cluster().status(*owner).at("requests").value("inFlight", 0) == 2; }));

    owner->node->sendSignal(SIGTERM);
    owner->node->sendSignal(SIGTERM);

    const BlockingAnswer whole = download.get();
    CHECK(whole.status == 200);
    CHECK(whole.whole);
    CHECK(whole.body.size() == downloadBytes);
    CHECK(order.get().status == 200);
    CHECK(desk.countExecutions("order-while-stopping") == 1);
    CHECK(owner->node->wait() == 0);
    owner->node.reset();
    CHECK(desk.cluster().waitUntilServed(deskShards));
}

TEST_CASE("All nodes apply a new document, and a restarted node does not revert it")
{
    DeskCluster desk(3);
    REQUIRE(desk.cluster().putDocument(desk.document("limits:\n  queue: 64\n")) == 0);
    const auto everywhere = [&] {
        for (std::size_t index = 0; index < desk.cluster().size(); ++index) {
            if (desk.cluster().status(desk.cluster().vm(index)).value("document", 0) != 2) {
                return false;
            }
        }
        return true;
    };
    REQUIRE(TestCluster::waitUntil(everywhere));

    TestCluster::control(desk.cluster().platform(), {{"delayMs", 300}});
    VmProcesses &vm = desk.cluster().vm(1);
    vm.node.reset();
    desk.cluster().startNode(vm);
    CHECK(TestCluster::waitUntil(everywhere));
}

TEST_CASE("An order sent during handovers is executed once, whichever node receives it")
{
    DeskCluster desk(4);
    REQUIRE(desk.cluster().putDocument(desk.document("shrink:\n  - at: \"2026-01-01T00:00:00Z\"\n    leave: [advice-3, advice-4]\n")) == 0);
    int refused = 0;
    constexpr int orders = 60;
    for (int index = 0; index < orders; ++index) {
        const std::string name = "order-" + std::to_string(index);
        const std::string key = "merchant-" + std::to_string(index);
        const BlockingAnswer answer = desk.order(desk.cluster().vm(static_cast<std::size_t>(index) % 4), key, name);
        const int executions = desk.countExecutions(name);
        CHECK(executions == (answer.status == 200 ? 1 : 0));
        refused += answer.status == 200 ? 0 : 1;
    }
    CHECK(refused == 0);
}
