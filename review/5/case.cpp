// A backend that leaves without reporting "draining" sends DELETE, and the node beside it acknowledges that. The node's process is killed and
// started again, and a status report that the backend sent before the DELETE arrives some seconds late.
// Seen: the node takes the report for that of a ready backend, and requests reach the leaving backend long after `drain`.

#include "../deployment.h"

#include <algorithm>
#include <csignal>
#include <thread>

using namespace review;

namespace {

/** The rule's bound. */
constexpr Milliseconds drain{2000};
/** A machine is in touch once its processes have run for that long since a kill. */
constexpr Milliseconds contact{3000};
constexpr Milliseconds killDelay{300};
constexpr Milliseconds restartDelay{500};
/** Time for which the status report is under way. */
constexpr Milliseconds reportDelay{3000};
/** The backend serves for that long after the acknowledgement. */
constexpr Milliseconds servingTime{8000};
constexpr Milliseconds timeLimit{4000};

/** Sends guide requests to the machine until the time given. */
void sendGuides(const Machine &entry, int client, Clock::time_point until, Record &record)
{
    for (int number = 0; Clock::now() < until; ++number) {
        const std::string attempt = "guide-" + std::to_string(client) + '-' + std::to_string(number);
        Connection connection = Connection::open(entry.outbound(), Milliseconds(1000));
        connection.write(requestText(clientRequest("GET", "/guide/page?work=200&size=5000", attempt, timeLimit)));
        const std::optional<Message> answer = connection.read(Clock::now() + timeLimit);
        record.add("answered " + attempt + ": " + (answer ? std::to_string(answer->status) : "nothing"));
        std::this_thread::sleep_for(Milliseconds(20));
    }
}

/** Kills and restarts the node, and delivers the late report. Returns the time of the restart. */
Clock::time_point disturb(Machine &machine, Deployment &deployment, const Message &lateReport, Clock::time_point sentAt, Record &record)
{
    std::this_thread::sleep_for(killDelay);
    record.say("SIGKILL to the node of " + machine.name());
    machine.signalNode(SIGKILL);
    while (!machine.hasEnded()) {
        std::this_thread::sleep_for(Milliseconds(1));
    }
    std::this_thread::sleep_for(restartDelay);
    const Clock::time_point restartedAt = Clock::now();
    machine.startNode(deployment.storeAddress(), deployment.folder(), false);
    record.say("the node is started again");
    std::this_thread::sleep_until(sentAt + reportDelay);
    Connection connection = Connection::open(machine.control(), Milliseconds(1000));
    connection.write(requestText(lateReport));
    const std::optional<Message> answer = connection.read(Clock::now() + Milliseconds(1000));
    record.say("the late status report arrives; answered " + (answer ? std::to_string(answer->status) : std::string("nothing")));
    return restartedAt;
}

int play(const std::string &folder)
{
    Record record(folder + "/record.txt");
    Deployment deployment({.sharded = 3, .copies = 3, .faultyCopies = nullptr}, record);
    if (!deployment.start() || !deployment.waitUntilSteady(std::chrono::seconds(40))) {
        record.say("could not run: the deployment did not become steady");
        return 2;
    }
    constexpr std::size_t leaving = 3;
    Machine &machine = *deployment.machines()[leaving];
    Backend &backend = *deployment.backends()[leaving];
    const Clock::time_point startedAt = Clock::now();
    std::vector<std::thread> clients;
    for (int client = 0; client < 12; ++client) {
        const Machine &entry = *deployment.machines()[client % 2 == 0 ? 0 : 4];
        clients.emplace_back([&, client] { sendGuides(entry, client, startedAt + std::chrono::seconds(2) + servingTime, record); });
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const Message lateReport = backend.delayedReport();
    const Clock::time_point reportSentAt = Clock::now();
    std::this_thread::sleep_for(Milliseconds(100));
    if (!backend.leave()) {
        record.say("could not run: the DELETE was not acknowledged");
        return 2;
    }
    const Clock::time_point acknowledgedAt = Clock::now();
    record.say("DELETE of " + backend.options().id + " is acknowledged");
    const Clock::time_point restartedAt = withTrouble() ? disturb(machine, deployment, lateReport, reportSentAt, record) : acknowledgedAt;
    for (std::thread &client : clients) {
        client.join();
    }
    const Clock::time_point countedFrom = std::max(acknowledgedAt + drain, withTrouble() ? restartedAt + contact : acknowledgedAt);
    int before = 0;
    int afterDrain = 0;
    int counted = 0;
    for (const Clock::time_point ranAt : backend.runTimes()) {
        before += ranAt < acknowledgedAt ? 1 : 0;
        afterDrain += ranAt > acknowledgedAt + drain ? 1 : 0;
        counted += ranAt > countedFrom ? 1 : 0;
    }
    record.say("requests that the leaving backend began: " + std::to_string(before) + " before the acknowledgement, " + std::to_string(afterDrain)
               + " later than 2 s after it, of these " + std::to_string(counted) + " while its node was in touch");
    record.say(counted > 0 ? "DRAIN broken" : "DRAIN held");
    return counted > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    finish(argc == 2 ? play(argv[1]) : 2);
}
