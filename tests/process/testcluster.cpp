#include "testcluster.h"

#include <chrono>
#include <filesystem>
#include <fstream>
#include <set>
#include <stdexcept>
#include <thread>

namespace {

constexpr auto pollInterval = std::chrono::milliseconds(20);
constexpr auto patience = std::chrono::seconds(60);

std::string makeFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "nutmeghinge-XXXXXX").string();
    if (!mkdtemp(pattern.data())) {
        throw std::runtime_error("cannot make a folder for the test");
    }
    return pattern;
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
    m_seats.clear();
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

TestSeat &TestCluster::addSeat(const std::string &name, const std::string &zone, const std::vector<std::string> &targetOptions)
{
    TestSeat &seat = addEmptySeat(name, zone);
    startNode(seat);
    startTarget(seat, targetOptions);
    return seat;
}

TestSeat &TestCluster::addEmptySeat(const std::string &name, const std::string &zone)
{
    m_seats.push_back(std::make_unique<TestSeat>());
    TestSeat &seat = *m_seats.back();
    seat.name = name;
    seat.zone = zone;
    return seat;
}

void TestCluster::startNode(TestSeat &seat)
{
    const std::string file = m_folder + '/' + seat.name + ".yaml";
    const bool restarted = !seat.announce.empty();
    std::ofstream(file) << "node: node-" << seat.name << "\nzone: " << seat.zone
                        << "\nregion: here\nplatform: " << (seat.platformVia.empty() ? m_platformEndpoint : seat.platformVia)
                        << "\nlisten:\n  callers: 127.0.0.1:0\n  peers: 127.0.0.1:0\n  control: 127.0.0.1:0\n  target: "
                        << (restarted ? seat.announce : "127.0.0.1:0") << "\n  operations: 127.0.0.1:0\n";
    seat.node.reset();
    const std::string log = m_folder + '/' + seat.name + '-' + std::to_string(++m_starts) + ".log";
    seat.node = std::make_unique<ChildProcess>(std::vector<std::string>{NODE_BINARY, "--settings", file, "--log-level", "info"}, log);
    seat.callers = seat.node->waitForOutput("listening for callers on ");
    seat.announce = seat.node->waitForOutput("listening for target on ");
    seat.operations = seat.node->waitForOutput("listening for operations on ");
}

void TestCluster::startTarget(TestSeat &seat, const std::vector<std::string> &options)
{
    std::vector<std::string> command{TARGET_BINARY,
                                     "--listen",
                                     "127.0.0.1:0",
                                     "--service",
                                     m_service,
                                     "--name",
                                     seat.name,
                                     "--node-announce",
                                     seat.announceVia.empty() ? seat.announce : seat.announceVia};
    command.insert(command.end(), options.begin(), options.end());
    seat.target.reset();
    seat.target = std::make_unique<ChildProcess>(command, m_folder + '/' + seat.name + "-target-" + std::to_string(++m_starts) + ".log");
    seat.targetEndpoint = seat.target->waitForOutput("listening ");
}

nlohmann::json TestCluster::status(const TestSeat &seat) const
{
    const BlockingAnswer answer = sendBlocking(seat.operations, {"GET", "/status", {}, {}, 2});
    return answer.status == 200 ? nlohmann::json::parse(answer.body) : nlohmann::json::object();
}

BlockingAnswer TestCluster::request(const TestSeat &seat, const std::string &key, BlockingRequest request) const
{
    request.headers["host"] = m_service;
    request.headers["customer-key"] = key;
    return sendBlocking(seat.callers, request);
}

void TestCluster::control(const std::string &endpoint, const nlohmann::json &faults)
{
    const BlockingAnswer answer = sendBlocking(endpoint, {"POST", "/control", {}, faults.dump(), 5});
    if (answer.status / 100 != 2) {
        throw std::runtime_error("control of a stand-in failed: " + std::to_string(answer.status) + ' ' + answer.body);
    }
}

bool TestCluster::waitUntil(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + patience;
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
        for (const auto &seat : m_seats) {
            if (!seat->node) {
                continue;
            }
            const nlohmann::json state = status(*seat);
            for (const nlohmann::json &shard : state.value("serving", nlohmann::json::array())) {
                served.insert(shard.get<int>());
            }
        }
        return served.size() == shards;
    });
}

TestSeat *TestCluster::ownerOf(const std::string &key)
{
    for (const auto &asked : m_seats) {
        if (!asked->node) {
            continue;
        }
        const BlockingAnswer answer = request(*asked, key);
        if (answer.status != 200) {
            continue;
        }
        const std::string target = nlohmann::json::parse(answer.body).value("target", "");
        for (const auto &seat : m_seats) {
            if (seat->name == target) {
                return seat.get();
            }
        }
    }
    return nullptr;
}
