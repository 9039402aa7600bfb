#include "crowdeddesk.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>

namespace {

/** Returns a field of /proc/ID/status in bytes; 0 if it cannot be read. */
std::uint64_t statusField(pid_t process, const std::string &name)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string word;
    while (status >> word) {
        if (word == name) {
            std::uint64_t kilobytes = 0;
            status >> kilobytes;
            return kilobytes * 1024;
        }
    }
    return 0;
}

NodeEnvironment environmentOf(Door door, std::uint64_t memoryBytes, MemoryLimit limit)
{
    NodeEnvironment environment;
    environment.settings = door == Door::PlainCallers ? "" : "pipelining: true\n";
    if (limit == MemoryLimit::OfSettings) {
        environment.settings += "memoryBytes: " + std::to_string(memoryBytes) + '\n';
    } else {
        environment.dataBytes = memoryBytes;
    }
    environment.descriptors = crowdedDescriptors;
    return environment;
}

} // namespace

CrowdedDesk::CrowdedDesk(Door door, std::size_t vmCount, std::uint64_t memoryBytes, MemoryLimit limit)
    : m_desk(vmCount, "limits:\n  queue: 400\n  requestBody: 67108864\n", environmentOf(door, memoryBytes, limit))
{
}

std::string CrowdedDesk::endpoint(Door door, std::size_t index)
{
    VmProcesses &node = vm(index);
    const std::map<Door, std::string> endpoints{{Door::Callers, node.callers},
                                                {Door::PlainCallers, node.callers},
                                                {Door::Peers, node.peers},
                                                {Door::Target, node.announce},
                                                {Door::Control, node.control},
                                                {Door::Operations, node.operations}};
    return endpoints.at(door);
}

std::uint64_t CrowdedDesk::memory(std::size_t index)
{
    return statusField(vm(index).node->id(), "VmRSS:");
}

std::uint64_t CrowdedDesk::peakMemory(std::size_t index)
{
    return statusField(vm(index).node->id(), "VmHWM:");
}

std::size_t CrowdedDesk::descriptors(std::size_t index)
{
    std::error_code error;
    const std::filesystem::directory_iterator folder("/proc/" + std::to_string(vm(index).node->id()) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(folder), end(folder)));
}

int CrowdedDesk::ordinaryRequest(std::size_t index)
{
    int status = 0;
    TestCluster::waitUntil([&] {
        status = m_desk.cluster().request(vm(index), "teak", {"POST", "/advice", {}, "glue", 5}).status;
        return (status != 0 && status != 503) || vm(index).node->hasEnded();
    });
    return status;
}

void checkCrowd(const CrowdPlan &plan)
{
    CrowdedDesk desk(plan.door, 1, crowdedMemoryBytes, plan.limit);
    REQUIRE(desk.ordinaryRequest() == 200);
    const std::uint64_t memoryBefore = desk.memory();
    TestCluster::control(desk.vm().targetEndpoint, {{"serviceTimeMs", plan.serviceTimeMs}});

    ClientCrowd crowd(desk.endpoint(plan.door), plan.clients, plan.stream, plan.reading);
    crowd.run();
    const std::size_t descriptors = desk.descriptors();
    INFO("clients that the node disconnected: " << crowd.disconnected() << "; first answer: " << crowd.firstAnswer().substr(0, 300));
    INFO("requests: " << desk.desk().cluster().status(desk.vm()).value("requests", nlohmann::json()).dump());
    INFO("memory before: " << memoryBefore << ", highest: " << desk.peakMemory() << "; descriptors: " << descriptors);
    const std::string log = desk.vm().node->output();
    INFO(log.substr(log.size() - std::min<std::size_t>(log.size(), 4000)));
    REQUIRE_FALSE(desk.vm().node->hasEnded());
    CHECK(desk.peakMemory() <= crowdedMemoryBytes);
    CHECK(descriptors <= crowdedDescriptors - keptDescriptors);
    CHECK(desk.ordinaryRequest() == 200);

    crowd.close();
    CHECK(TestCluster::waitUntil([&] { return desk.memory() <= memoryBefore + keptMemoryBytes; }));
    INFO("memory afterwards: " << desk.memory());
    CHECK(desk.ordinaryRequest() == 200);
    REQUIRE_FALSE(desk.vm().node->hasEnded());
    CHECK(desk.peakMemory() <= crowdedMemoryBytes);
}

std::string bodyHead(const std::string &framing, const std::string &path)
{
    return "POST " + path + " HTTP/1.1\r\nhost: advice-desk\r\ncustomer-key: teak\r\n" + framing + "\r\n\r\n";
}
