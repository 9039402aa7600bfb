// A status report of another writer, with fields missing, arrives at one node. It names no backend to use.
// Seen: the node takes it for its backend, and its keys are granted to other backends while their holder still holds them.

#include "../deployment.h"

#include <algorithm>
#include <thread>

using namespace review;

namespace {

/** The rule's bound: two backends that are up must not hold the same keys for longer. */
constexpr Milliseconds allowedOverlap{500};
constexpr std::chrono::seconds observedTime{15};

/** Follows which keys two backends hold at the same time. */
class HolderWatch
{
public:
    HolderWatch(Deployment &deployment, Record &record)
        : m_deployment(deployment)
        , m_record(record)
    {
    }

    void look()
    {
        const Clock::time_point now = Clock::now();
        std::vector<int> holders(keyCount, 0);
        std::vector<std::size_t> counts;
        for (const auto &backend : m_deployment.backends()) {
            const std::vector<std::uint64_t> held = backend->held();
            counts.push_back(0);
            for (std::size_t key = 0; key < keyCount; ++key) {
                holders[key] += held[key] != 0 ? 1 : 0;
                counts.back() += held[key] != 0 ? 1 : 0;
            }
        }
        for (std::size_t key = 0; key < keyCount; ++key) {
            if (holders[key] < 2) {
                m_since[key] = Clock::time_point::max();
                continue;
            }
            m_since[key] = std::min(m_since[key], now);
            m_longest[key] = std::max(m_longest[key], std::chrono::duration_cast<Milliseconds>(now - m_since[key]));
        }
        if (counts != m_counts) {
            m_counts = counts;
            std::string line = "holders  keys by backend:";
            for (const std::size_t count : counts) {
                line += ' ' + std::to_string(count);
            }
            m_record.add(line + ", with two holders: " + std::to_string(std::ranges::count_if(holders, [](int count) { return count > 1; })));
        }
    }

    std::size_t keysOverBound() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_longest, [](Milliseconds time) { return time > allowedOverlap; }));
    }
    Milliseconds longest() const { return *std::ranges::max_element(m_longest); }

private:
    Deployment &m_deployment;
    Record &m_record;
    std::vector<Clock::time_point> m_since = std::vector<Clock::time_point>(keyCount, Clock::time_point::max());
    std::vector<Milliseconds> m_longest = std::vector<Milliseconds>(keyCount, Milliseconds(0));
    std::vector<std::size_t> m_counts;
};

/** Sends the report once. Its zone is a number and its version is missing, so it names no backend to use. */
void sendForeignReport(const Machine &machine, Record &record)
{
    const auto born = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    const nlohmann::json body{
        {"service", machine.service()}, {"address", machine.ip() + ":9"}, {"zone", 7}, {"slots", 18}, {"state", "draining"}, {"sequence", 1}, {"born", born}};
    Message request;
    request.method = "PUT";
    request.path = "/v1/instances/i-another-writer";
    request.headers = {{"Host", machine.control().text()}, {"Content-Type", "application/json"}};
    request.body = body.dump();
    Connection connection = Connection::open(machine.control(), Milliseconds(1000));
    connection.write(requestText(request));
    const std::optional<Message> answer = connection.read(Clock::now() + Milliseconds(1000));
    record.say("sent     to " + machine.name() + ": " + request.path + ' ' + request.body);
    record.say("answered " + (answer ? std::to_string(answer->status) + ' ' + answer->body : std::string("nothing")));
}

/** Sends lookups to the machine, one after the other, and counts those with an answer of success. */
std::pair<int, int> sendLookups(const Machine &machine, std::chrono::seconds duration, Record &record)
{
    int sent = 0;
    int served = 0;
    for (const Clock::time_point end = Clock::now() + duration; Clock::now() < end; ++sent) {
        const std::string attempt = "lookup-" + std::to_string(sent);
        Message request = clientRequest("GET", "/glue/" + std::to_string(sent) + "?work=20", attempt, Milliseconds(1500));
        request.headers.emplace_back("Nutmeghinge-Shard-Key", std::to_string(sent * 7919 % static_cast<int>(keyCount)));
        Connection connection = Connection::open(machine.outbound(), Milliseconds(1000));
        connection.write(requestText(request));
        const std::optional<Message> answer = connection.read(Clock::now() + Milliseconds(1500));
        served += answer && answer->status == 200 ? 1 : 0;
        record.add("answered " + attempt + ": " + (answer ? std::to_string(answer->status) : "nothing"));
        std::this_thread::sleep_for(Milliseconds(50));
    }
    return {sent, served};
}

int play(const std::string &folder)
{
    Record record(folder + "/record.txt");
    Deployment deployment({.sharded = 4, .copies = 2, .faultyCopies = nullptr}, record);
    if (!deployment.start() || !deployment.waitUntilSteady(std::chrono::seconds(40))) {
        record.say("could not run: the deployment did not become steady");
        return 2;
    }
    const Machine &victim = *deployment.machines()[1];
    const Machine &entry = *deployment.machines()[4];
    record.say("steady; all keys have one holder");
    std::pair<int, int> lookups;
    std::thread client([&] { lookups = sendLookups(entry, observedTime, record); });
    HolderWatch watch(deployment, record);
    const Clock::time_point end = Clock::now() + observedTime;
    const Clock::time_point reportAt = Clock::now() + std::chrono::seconds(2);
    bool reported = !withTrouble();
    while (Clock::now() < end) {
        if (!reported && Clock::now() >= reportAt) {
            reported = true;
            sendForeignReport(victim, record);
        }
        watch.look();
        std::this_thread::sleep_for(Milliseconds(10));
    }
    client.join();
    record.say("lookups sent " + std::to_string(lookups.first) + ", served " + std::to_string(lookups.second));
    record.say("backend beside the node that got the report holds " + std::to_string(deployment.backends()[1]->heldCount()) + " keys at the end");
    record.say("keys with two holders for over 500 ms: " + std::to_string(watch.keysOverBound()) + ", longest " + std::to_string(watch.longest().count())
               + " ms");
    const bool broken = watch.keysOverBound() > 0;
    record.say(broken ? "OWNER broken" : "OWNER held");
    return broken ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    finish(argc == 2 ? play(argv[1]) : 2);
}
