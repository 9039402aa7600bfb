#include "testcluster.h"

#include <chrono>
#include <filesystem>
#include <fstream>
#include <set>
#include <stdexcept>
#include <thread>

namespace {

constexpr auto pollInterval = std::chrono::milliseconds(20);
constexpr auto waitTimeout = std::chrono::seconds(60);

std::string makeFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "nutmeghinge-XXXXXX").string();
    if (!mkdtemp(pattern.data())) {
        throw std::runtime_error("cannot create a folder for the test");
    }
    return pattern;
}

/** Returns the command with the limits of the environment set before it starts. */
std::vector<std::string> withLimits(const NodeEnvironment &environment, std::vector<std::string> command)
{
    std::string limits;
    if (environment.dataBytes > 0) {
        limits += "ulimit -d " + std::to_string(environment.dataBytes / 1024) + " && ";
    }
    if (environment.descriptors > 0) {
        limits += "ulimit -n " + std::to_string(environment.descriptors) + " && ";
    }
    if (!limits.empty()) {
        command.insert(command.begin(), {"/bin/sh", "-c", limits + "exec \"$0\" \"$@\""});
    }
    return command;
}

} // namespace

TestCluster::TestCluster(const std::string &service)
    : m_service(service)
    , m_folder(makeFolder())
{
    m_platform = std::make_unique<ChildProcess>(std::vector<std::string>{PLATFORM_BINARY, "--listen", "127.0.0.1:0"}, m_folder + "/platform.log");
    m_platformEndpoint = m_platform->waitForOutput("listening ");
}

TestCluster::~TestCluster()
{
    m_vms.clear();
    m_platform.reset();
    if (!m_keepFolder) {
        std::filesystem::remove_all(m_folder);
    }
}

int TestCluster::putDocument(const std::string &text)
{
    const std::string file = m_folder + "/document.yaml";
    std::ofstream(file) << text;
    ChildProcess process({CTL_BINARY, "document", "put", file, "--platform", m_platformEndpoint}, m_folder + "/put.log");
    return process.wait();
}

VmProcesses &TestCluster::addVm(const std::string &name, const std::string &zone, const std::vector<std::string> &targetOptions)
{
    VmProcesses &vm = addUnstartedVm(name, zone);
    startNode(vm);
    startTarget(vm, targetOptions);
    return vm;
}

VmProcesses &TestCluster::addUnstartedVm(const std::string &name, const std::string &zone)
{
    m_vms.push_back(std::make_unique<VmProcesses>());
    VmProcesses &vm = *m_vms.back();
    vm.name = name;
    vm.zone = zone;
    return vm;
}

void TestCluster::startNode(VmProcesses &vm)
{
    const std::string file = m_folder + '/' + vm.name + ".yaml";
    const bool restarted = !vm.announce.empty();
    // Any socket may take the earlier port in the meantime; a relay follows the node to another one.
    const bool keepsPort = restarted && vm.announceRelay.empty();
    std::ofstream(file) << "node: node-" << vm.name << "\nzone: " << vm.zone
                        << "\nregion: here\nplatform: " << (vm.platformRelay.empty() ? m_platformEndpoint : vm.platformRelay)
                        << "\nlisten:\n  callers: 127.0.0.1:0\n  peers: 127.0.0.1:0\n  control: 127.0.0.1:0\n  target: "
                        << (keepsPort ? vm.announce : "127.0.0.1:0") << "\n  operations: 127.0.0.1:0\nfirstStart: " << (restarted ? "false" : "true") << '\n'
                        << m_environment.settings;
    vm.node.reset();
    const std::string log = m_folder + '/' + vm.name + '-' + std::to_string(++m_starts) + ".log";
    vm.node = std::make_unique<ChildProcess>(withLimits(m_environment, {NODE_BINARY, "--settings", file, "--log-level", "info"}), log);
    vm.callers = vm.node->waitForOutput("listening for callers on ");
    vm.peers = vm.node->waitForOutput("listening for peers on ");
    vm.control = vm.node->waitForOutput("listening for control on ");
    vm.announce = vm.node->waitForOutput("listening for target on ");
    vm.operations = vm.node->waitForOutput("listening for operations on ");
}

void TestCluster::startTarget(VmProcesses &vm, const std::vector<std::string> &options)
{
    std::vector<std::string> command{TARGET_BINARY,
                                     "--listen",
                                     "127.0.0.1:0",
                                     "--service",
                                     m_service,
                                     "--name",
                                     vm.name,
                                     "--node-announce",
                                     vm.announceRelay.empty() ? vm.announce : vm.announceRelay};
    command.insert(command.end(), options.begin(), options.end());
    vm.target.reset();
    vm.target = std::make_unique<ChildProcess>(command, m_folder + '/' + vm.name + "-target-" + std::to_string(++m_starts) + ".log");
    vm.targetEndpoint = vm.target->waitForOutput("listening ");
}

nlohmann::json TestCluster::status(const VmProcesses &vm) const
{
    const BlockingAnswer answer = sendBlocking(vm.operations, {"GET", "/status", {}, {}, 2});
    return answer.status == 200 ? nlohmann::json::parse(answer.body) : nlohmann::json::object();
}

BlockingAnswer TestCluster::request(const VmProcesses &vm, const std::string &key, BlockingRequest request) const
{
    request.headers["host"] = m_service;
    request.headers["customer-key"] = key;
    return sendBlocking(vm.callers, request);
}

void TestCluster::control(const std::string &endpoint, const nlohmann::json &faults)
{
    const BlockingAnswer answer = sendBlocking(endpoint, {"POST", "/control", {}, faults.dump(), 5});
    if (answer.status / 100 != 2) {
        throw std::runtime_error("cannot set the faults of a stand-in: status " + std::to_string(answer.status) + ' ' + answer.body);
    }
}

bool TestCluster::waitUntil(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + waitTimeout;
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return condition();
}

bool TestCluster::waitUntilServed(std::size_t shards) const
{
    return waitUntil([&] {
        std::set<int> served;
        for (const auto &vm : m_vms) {
            if (!vm->node) {
                continue;
            }
            const nlohmann::json state = status(*vm);
            for (const nlohmann::json &shard : state.value("serving", nlohmann::json::array())) {
                served.insert(shard.get<int>());
            }
        }
        return served.size() == shards;
    });
}

VmProcesses *TestCluster::ownerOf(const std::string &key)
{
    for (const auto &entry : m_vms) {
        if (!entry->node) {
            continue;
        }
        const BlockingAnswer answer = request(*entry, key);
        if (answer.status != 200) {
            continue;
        }
        const std::string target = nlohmann::json::parse(answer.body).value("target", "");
        for (const auto &vm : m_vms) {
            if (vm->name == target) {
                return vm.get();
            }
        }
    }
    return nullptr;
}
