// Three clients at a time send a request whose body is within the limit of the configuration (64 MB) to one machine, three times at each of two machines.
// Seen: the nodes keep several copies of each body, exceed the memory that the platform gives a process, and are killed.

#include "../deployment.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <thread>
#include <unistd.h>

using namespace review;

namespace {

/** `memory_mb` of the site: a process that exceeds it is killed. */
constexpr std::size_t memoryLimitMb = 260;
/** Below `max_body_bytes` of the configuration, 67,108,864. */
constexpr std::size_t largeBody = 60000000;
/** The site's largest order. */
constexpr std::size_t smallBody = 24000;
constexpr int rounds = 3;
constexpr int clientsAtOnce = 3;
/** The rule's bounds: so many machines with so many ends each. */
constexpr int faultyMachines = 2;
constexpr int endsOfMachine = 3;
constexpr Milliseconds timeLimit{5000};
constexpr Milliseconds restartDelay{500};

/** Memory that the process uses now, in MB. */
std::size_t memoryOf(pid_t process)
{
    std::ifstream statistics("/proc/" + std::to_string(process) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    statistics >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) / (1U << 20U);
}

/** Kills nodes that exceed the limit and starts them again, as the platform does. */
class MemoryWatch
{
public:
    MemoryWatch(Deployment &deployment, Record &record)
        : m_deployment(deployment)
        , m_record(record)
        , m_ends(deployment.machines().size())
    {
    }

    void run()
    {
        while (!m_stopped) {
            for (std::size_t i = 0; i < m_ends.size(); ++i) {
                check(*m_deployment.machines()[i], m_ends[i]);
            }
            std::this_thread::sleep_for(Milliseconds(2));
        }
    }
    void stop() { m_stopped = true; }
    const std::vector<std::atomic<int>> &ends() const { return m_ends; }

private:
    void check(Machine &machine, std::atomic<int> &ends)
    {
        const std::size_t used = memoryOf(machine.pid());
        if (used <= memoryLimitMb) {
            return;
        }
        machine.signalNode(SIGKILL);
        while (!machine.hasEnded()) {
            std::this_thread::sleep_for(Milliseconds(1));
        }
        ++ends;
        m_record.say("the node of " + machine.name() + " used " + std::to_string(used) + " MB, over its limit of " + std::to_string(memoryLimitMb)
                     + " MB: killed");
        std::this_thread::sleep_for(restartDelay);
        machine.startNode(m_deployment.storeAddress(), m_deployment.folder(), false);
    }

    Deployment &m_deployment;
    Record &m_record;
    std::vector<std::atomic<int>> m_ends;
    std::atomic<bool> m_stopped = false;
};

std::string send(const Machine &entry, const Message &request, Record &record)
{
    const std::string attempt = request.headers[1].second;
    Connection connection = Connection::open(entry.outbound(), Milliseconds(1000));
    const std::size_t size = request.body.size();
    connection.write(requestText(request));
    const std::optional<Message> answer = connection.read(Clock::now() + timeLimit);
    std::string outcome = answer ? std::to_string(answer->status) : "connection closed, no answer";
    record.add("answered " + attempt + " (" + std::to_string(size) + " bytes): " + outcome);
    return outcome;
}

Message order(const std::string &attempt, int client)
{
    Message request = clientRequest("POST", "/order/new?work=200", attempt, timeLimit);
    request.headers.emplace_back("Nutmeghinge-Shard-Key", std::to_string(client * 20000 + 1));
    request.body = std::string(withTrouble() ? largeBody : smallBody, 'a');
    return request;
}

/** Sends the orders, and beside them a guide request that the node has accepted before. */
void playRound(const Machine &entry, int round, Record &record)
{
    const std::string suffix = '-' + entry.name() + '-' + std::to_string(round);
    std::vector<std::thread> clients;
    clients.emplace_back([&] {
        const std::string outcome = send(entry, clientRequest("GET", "/guide/page?work=1500&size=5000", "guide" + suffix, timeLimit), record);
        record.say("guide" + suffix + ": " + outcome);
    });
    std::this_thread::sleep_for(Milliseconds(200));
    for (int client = 0; client < clientsAtOnce; ++client) {
        clients.emplace_back([&, client] { send(entry, order("order" + suffix + '-' + std::to_string(client), client), record); });
    }
    for (std::thread &client : clients) {
        client.join();
    }
}

void waitUntilReady(Deployment &deployment)
{
    const Clock::time_point end = Clock::now() + std::chrono::seconds(10);
    std::this_thread::sleep_for(Milliseconds(1000));
    while (Clock::now() < end && !std::ranges::all_of(deployment.machines(), [](const auto &machine) { return machine->isReady(); })) {
        std::this_thread::sleep_for(Milliseconds(100));
    }
}

int play(const std::string &folder)
{
    Record record(folder + "/record.txt");
    Deployment deployment({.sharded = 3, .copies = 3, .faultyCopies = nullptr}, record);
    if (!deployment.start() || !deployment.waitUntilSteady(std::chrono::seconds(40))) {
        record.say("could not run: the deployment did not become steady");
        return 2;
    }
    MemoryWatch watch(deployment, record);
    std::thread platform([&] { watch.run(); });
    for (const std::size_t entry : {3, 4}) {
        for (int round = 1; round <= rounds; ++round) {
            playRound(*deployment.machines()[entry], round, record);
            waitUntilReady(deployment);
        }
    }
    watch.stop();
    platform.join();
    int faulty = 0;
    for (std::size_t i = 0; i < deployment.machines().size(); ++i) {
        const Machine &machine = *deployment.machines()[i];
        record.say(machine.name() + ": ended " + std::to_string(watch.ends()[i]) + " times, peak now " + std::to_string(machine.peakMemory()) + " MB");
        faulty += watch.ends()[i] >= endsOfMachine ? 1 : 0;
    }
    const bool broken = faulty >= faultyMachines;
    record.say("machines whose process ended three times or more: " + std::to_string(faulty));
    record.say(broken ? "Fault: rule broken" : "Fault: rule held");
    return broken ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    finish(argc == 2 ? play(argv[1]) : 2);
}
