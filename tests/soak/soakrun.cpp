#include "soakrun.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <sstream>
#include <thread>

namespace {

using std::chrono::milliseconds;

constexpr std::size_t callers = 10;
constexpr std::size_t keys = 32;
constexpr int shards = 32;
constexpr unsigned ordersPerHundred = 30;
/** Between two requests of one caller. */
constexpr milliseconds callerPause(4);
constexpr int callerPatienceSeconds = 12;
/** Longest lease, a change of coordinator, restarts and the first heartbeats, on a busy machine. */
constexpr milliseconds recoveryTime(30000);
constexpr milliseconds stopTime(30000);
constexpr milliseconds observeInterval(150);
constexpr std::uint64_t slowPlatformMs = 400;
constexpr std::uint64_t lostAnswers = 5;
constexpr milliseconds callerDelay(60);

const std::string service = "advice-desk";

std::string keyOf(std::size_t number)
{
    return "key-" + std::to_string(number);
}

SoakTime now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

SoakRun::SoakRun(std::uint64_t seed, std::size_t seats, milliseconds length)
    : m_seed(seed)
    , m_length(length)
    , m_plan(makeSoakPlan(seed, seats, length))
    , m_cluster(service)
    , m_seats(seats)
{
    putDocument();
    for (std::size_t index = 0; index < seats; ++index) {
        startSeat(index);
    }
    if (!m_cluster.waitUntilServed(shards)) {
        m_observations.failures.emplace_back("the cluster did not come to serve every shard");
    }
}

void SoakRun::keepFolder()
{
    m_cluster.keepFolder();
    std::ofstream file(folder() + "/plan.txt");
    file << "seed " << m_seed << ", " << m_seats.size() << " nodes\n";
    for (const SoakStep &step : m_plan) {
        file << toText(step) << '\n';
    }
}

void SoakRun::startSeat(std::size_t index)
{
    Seat &seat = m_seats[index];
    seat.processes = &m_cluster.addUnstartedVm("advice-" + std::to_string(index + 1), "zone-" + std::to_string(index % 3));
    seat.platform = std::make_unique<SoakRelay>(m_cluster.platform());
    seat.processes->platformRelay = seat.platform->endpoint();
    seat.announcements = std::make_unique<SoakRelay>("127.0.0.1:1");
    seat.processes->announceRelay = seat.announcements->endpoint();
    seat.callers = std::make_unique<SoakRelay>("127.0.0.1:1");
    startNode(seat);
    startTarget(seat);
}

void SoakRun::startNode(Seat &seat)
{
    m_cluster.startNode(*seat.processes);
    seat.announcements->setTarget(seat.processes->announce);
    seat.callers->setTarget(seat.processes->callers);
}

void SoakRun::startTarget(Seat &seat)
{
    m_cluster.startTarget(*seat.processes,
                          {"--check-fence", "--print-executions", "--service-time-ms", "2", "--incarnation", std::to_string(++seat.targetStarts)});
}

void SoakRun::putDocument()
{
    ++m_documents;
    // It fails where the platform is down; the next one follows.
    m_cluster.putDocument("service: advice-desk\nhosts: [advice-desk]\nkeys:\n  header: customer-key\n  shards: " + std::to_string(shards)
                          + "\ntargets:\n  allow: [\"advice-*\"]\n  checkFence: true\nlimits:\n  queue: " + std::to_string(100 + m_documents) + "\n");
}

void SoakRun::killNode(Seat &seat)
{
    seat.processes->node.reset();
    seat.nodePaused = false;
}

void SoakRun::stopNode(Seat &seat)
{
    if (seat.processes->node && !seat.nodePaused) {
        seat.processes->node->sendSignal(SIGTERM);
    }
}

void SoakRun::awaitStopped(Seat &seat)
{
    if (!seat.processes->node) {
        return;
    }
    if (seat.nodePaused) {
        seat.processes->node->sendSignal(SIGCONT);
        seat.nodePaused = false;
    }
    seat.processes->node->sendSignal(SIGTERM);
    const SoakTime end = now() + stopTime;
    while (!seat.processes->node->hasEnded() && now() < end) {
        std::this_thread::sleep_for(milliseconds(20));
    }
    if (!seat.processes->node->hasEnded()) {
        m_observations.failures.push_back(seat.processes->name + " did not end after SIGTERM");
    } else if (const int code = seat.processes->node->wait(); code != 0) {
        m_observations.failures.push_back(seat.processes->name + " ended with code " + std::to_string(code) + " after SIGTERM");
    }
    seat.processes->node.reset();
}

void SoakRun::begin(const SoakStep &step)
{
    Seat &seat = m_seats[step.seat];
    switch (step.action) {
    case SoakAction::KillNode:
        killNode(seat);
        break;
    case SoakAction::KillTarget:
        seat.processes->target.reset();
        break;
    case SoakAction::KillBoth:
        killNode(seat);
        seat.processes->target.reset();
        break;
    case SoakAction::KillAllNodes:
        std::for_each(m_seats.begin(), m_seats.end(), [this](Seat &each) { killNode(each); });
        break;
    case SoakAction::StopNode:
        stopNode(seat);
        break;
    case SoakAction::PauseNode:
        if (seat.processes->node) {
            seat.processes->node->sendSignal(SIGSTOP);
            seat.nodePaused = true;
        }
        break;
    case SoakAction::ReloadNode:
        if (seat.processes->node) {
            seat.processes->node->sendSignal(SIGHUP);
        }
        break;
    case SoakAction::PutDocument:
        putDocument();
        break;
    case SoakAction::PlatformDown:
        TestCluster::control(m_cluster.platform(), {{"down", true}});
        break;
    case SoakAction::PlatformSlow:
        TestCluster::control(m_cluster.platform(), {{"delayMs", slowPlatformMs}});
        break;
    case SoakAction::PlatformLosesAnswers:
        TestCluster::control(m_cluster.platform(), {{"dropAnswers", lostAnswers}});
        break;
    case SoakAction::CutFromPlatform:
        seat.platform->setSilent(true);
        break;
    case SoakAction::DelayCallers:
        seat.callers->setDelay(callerDelay);
        break;
    case SoakAction::ResetCallers:
        seat.callers->resetAll();
        break;
    case SoakAction::SilenceCallers:
        seat.callers->setSilent(true);
        break;
    case SoakAction::CutAnnouncements:
        seat.announcements->setSilent(true);
        break;
    }
}

void SoakRun::takeBack(const SoakStep &step)
{
    Seat &seat = m_seats[step.seat];
    const auto startMissing = [this](Seat &each) {
        if (!each.processes->node) {
            startNode(each);
        }
        if (!each.processes->target) {
            startTarget(each);
        }
    };
    switch (step.action) {
    case SoakAction::KillNode:
    case SoakAction::KillTarget:
    case SoakAction::KillBoth:
        startMissing(seat);
        break;
    case SoakAction::KillAllNodes:
        std::for_each(m_seats.begin(), m_seats.end(), startMissing);
        break;
    case SoakAction::StopNode:
        awaitStopped(seat);
        startMissing(seat);
        break;
    case SoakAction::PauseNode:
        if (seat.processes->node) {
            seat.processes->node->sendSignal(SIGCONT);
            seat.nodePaused = false;
        }
        break;
    case SoakAction::PlatformDown:
        TestCluster::control(m_cluster.platform(), {{"down", false}});
        break;
    case SoakAction::PlatformSlow:
        TestCluster::control(m_cluster.platform(), {{"delayMs", 0}});
        break;
    case SoakAction::CutFromPlatform:
        seat.platform->setSilent(false);
        break;
    case SoakAction::DelayCallers:
        seat.callers->setDelay(milliseconds(0));
        break;
    case SoakAction::SilenceCallers:
        seat.callers->setSilent(false);
        break;
    case SoakAction::CutAnnouncements:
        seat.announcements->setSilent(false);
        break;
    default:
        break;
    }
}

void SoakRun::observeDocuments()
{
    for (const Seat &seat : m_seats) {
        const nlohmann::json status = seat.processes->node && !seat.nodePaused ? m_cluster.status(*seat.processes) : nlohmann::json::object();
        if (status.contains("document")) {
            m_observations.documents.push_back({seat.processes->name, status["incarnation"].get<std::uint64_t>(), status["document"].get<std::uint64_t>()});
        }
    }
}

void SoakRun::runSteps()
{
    std::multimap<milliseconds, std::function<void()>> due;
    for (const SoakStep &step : m_plan) {
        due.emplace(step.at, [this, &step] { begin(step); });
        due.emplace(step.at + step.length, [this, &step] { takeBack(step); });
    }
    const SoakTime start = now();
    SoakTime observeAt = start;
    for (const auto &[at, action] : due) {
        while (now() < start + at) {
            if (now() >= observeAt) {
                observeDocuments();
                observeAt = now() + observeInterval;
            }
            std::this_thread::sleep_for(milliseconds(5));
        }
        action();
    }
}

SoakRequest SoakRun::sendOne(KeepAliveConnection &connection, std::size_t seat, const std::string &key, const std::string &order) const
{
    SoakRequest seen;
    seen.order = order;
    seen.key = key;
    seen.seat = seat;
    BlockingRequest request;
    request.method = order.empty() ? "GET" : "POST";
    request.headers = {{"host", service}, {"customer-key", key}};
    if (!order.empty()) {
        request.headers["x-order"] = order;
        request.body = "glue";
    }
    const BlockingAnswer answer = connection.send(request);
    seen.status = answer.whole ? answer.status : 0;
    seen.cut = !answer.whole;
    seen.begun = answer.begun;
    const auto outcome = answer.headers.find("nutmeghinge-outcome");
    seen.saidNotRun = answer.whole && outcome != answer.headers.end() && outcome->second == "not-run";
    if (seen.status == 200) {
        const nlohmann::json body = nlohmann::json::parse(answer.body, nullptr, false);
        seen.answeredRight = body.is_object() && body.value("key", "") == key && body.value("order", "") == order;
    }
    return seen;
}

void SoakRun::callerLoop(std::uint64_t seed, std::size_t number)
{
    std::mt19937_64 random(seed * callers + number);
    std::vector<SoakRequest> seen;
    std::uint64_t orders = 0;
    while (!m_ending) {
        const std::size_t seat = random() % m_seats.size();
        KeepAliveConnection connection(m_seats[seat].callers->endpoint(), callerPatienceSeconds);
        while (connection.isOpen() && !m_ending) {
            const bool isOrder = random() % 100 < ordersPerHundred;
            const std::string order = isOrder ? "o-" + std::to_string(number) + '-' + std::to_string(++orders) : "";
            seen.push_back(sendOne(connection, seat, keyOf(random() % keys), order));
            std::this_thread::sleep_for(callerPause);
        }
        std::this_thread::sleep_for(callerPause);
    }
    const std::lock_guard lock(m_mutex);
    m_observations.requests.insert(m_observations.requests.end(), seen.begin(), seen.end());
}

bool SoakRun::isServed(std::size_t seat, const std::string &key) const
{
    return m_cluster.request(*m_seats[seat].processes, key).status == 200;
}

/** Every node brings every key to its owner, and has the last document in force. */
void SoakRun::awaitRecovery()
{
    putDocument();
    std::set<std::pair<std::size_t, std::size_t>> missing;
    for (std::size_t seat = 0; seat < m_seats.size(); ++seat) {
        for (std::size_t key = 0; key < keys; ++key) {
            missing.emplace(seat, key);
        }
    }
    const SoakTime end = now() + recoveryTime;
    const auto documentsDiffer = [this] {
        m_observations.documentsAtEnd.clear();
        for (const Seat &seat : m_seats) {
            m_observations.documentsAtEnd.push_back(m_cluster.status(*seat.processes).value("document", std::uint64_t(0)));
        }
        m_observations.lastDocument = *std::max_element(m_observations.documentsAtEnd.begin(), m_observations.documentsAtEnd.end());
        return std::any_of(m_observations.documentsAtEnd.begin(), m_observations.documentsAtEnd.end(), [this](std::uint64_t revision) {
            return revision != m_observations.lastDocument;
        });
    };
    bool differ = true;
    while ((!missing.empty() || differ) && now() < end) {
        std::erase_if(missing, [this](const auto &pair) { return isServed(pair.first, keyOf(pair.second)); });
        differ = documentsDiffer();
    }
    for (const auto &[seat, key] : missing) {
        m_observations.unservedKeys.push_back(keyOf(key) + " at " + m_seats[seat].processes->name);
    }
}

/** Targets told each execution before it began, so that their ends lose none. */
void SoakRun::readExecutions()
{
    for (const auto &entry : std::filesystem::directory_iterator(folder())) {
        const std::string name = entry.path().filename().string();
        if (name.find("-target-") == std::string::npos) {
            continue;
        }
        std::ifstream file(entry.path());
        std::string line;
        while (std::getline(file, line)) {
            std::istringstream words(line);
            std::string word;
            std::int64_t microseconds = 0;
            SoakExecution execution;
            char dot = 0;
            if (words >> word >> microseconds >> execution.key >> execution.term >> dot >> execution.sequence && word == "execution") {
                words >> execution.order;
                execution.target = name.substr(0, name.find("-target-"));
                execution.at = SoakTime(std::chrono::microseconds(microseconds));
                m_observations.executions.push_back(execution);
            }
        }
    }
}

SoakObservations SoakRun::play()
{
    for (std::size_t seat = 0; seat < m_seats.size(); ++seat) {
        const bool planned = std::none_of(m_plan.begin(), m_plan.end(), [seat](const SoakStep &step) {
            return mayCut(step.action) && (step.seat == seat || step.action == SoakAction::KillAllNodes);
        });
        if (planned) {
            m_observations.plannedOnly.push_back(seat);
        }
    }
    std::vector<std::thread> threads;
    for (std::size_t number = 0; number < callers; ++number) {
        threads.emplace_back([this, number] { callerLoop(m_seed, number); });
    }
    runSteps();
    awaitRecovery();
    m_ending = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    readExecutions();
    return m_observations;
}
