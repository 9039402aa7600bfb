#include "deskcluster.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <csignal>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace std::chrono_literals;

constexpr std::size_t downloadBytes = 200'000'000;
constexpr auto callerInterval = 5ms;

/** What a caller saw that sent requests on kept connections until it could open none. */
struct CallerReport {
    int answers = 0;
    int withoutAnswer = 0;
    std::chrono::steady_clock::time_point refusedAt;
};

CallerReport callUntilRefused(const std::string &endpoint, const std::string &key)
{
    CallerReport report;
    while (true) {
        KeepAliveConnection connection(endpoint);
        if (!connection.isOpen()) {
            report.refusedAt = std::chrono::steady_clock::now();
            return report;
        }
        while (connection.isOpen()) {
            const BlockingAnswer answer = connection.send({"GET", "/", {{"host", "advice-desk"}, {"customer-key", key}}, {}, 15});
            ++(answer.whole ? report.answers : report.withoutAnswer);
            std::this_thread::sleep_for(callerInterval);
        }
    }
}

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

TEST_CASE("Callers that go on using a stopping node get an answer to each request, and a connection for as long as it can answer")
{
    const std::string callers = GENERATE("pipelining: true\n", "");
    DeskCluster desk(3, {}, {.settings = "stopLimit: 6s\n" + callers});
    VmProcesses &vm = desk.cluster().vm(1);
    std::vector<std::future<CallerReport>> reports;
    for (const char *key : {"teak", "oak", "elm", "ash"}) {
        reports.push_back(std::async(std::launch::async, callUntilRefused, vm.callers, key));
    }
    std::this_thread::sleep_for(300ms);
    const auto stoppedAt = std::chrono::steady_clock::now();
    vm.node->sendSignal(SIGTERM);
    for (std::future<CallerReport> &future : reports) {
        const CallerReport report = future.get();
        CHECK(report.answers > 100);
        CHECK(report.withoutAnswer == 0);
        CHECK(report.refusedAt - stoppedAt > 4500ms);
        CHECK(report.refusedAt - stoppedAt < 6s);
    }
    CHECK(vm.node->wait() == 0);
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
