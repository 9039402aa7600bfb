#include "deployment.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

using nlohmann::json;

/** First words of the command in deploy/system.toml; the settings file of the platform is replaced by one in the temporary folder. */
constexpr const char *program = "target/src/nutmeghinge/nutmeghinge";
constexpr std::array<const char *, 3> zones{"bkk-a", "bkk-b", "nonthaburi"};

json routes()
{
    const auto route = [](const char *name, const char *prefix, const char *kind, int timeout, int latency, int priority, const char *service) {
        return json{{"name", name},
                    {"host", host},
                    {"prefix", prefix},
                    {"kind", kind},
                    {"timeout", timeout},
                    {"target_latency", latency},
                    {"priority", priority},
                    {"service", service},
                    {"max_attempts", 2}};
    };
    return json::array({route("glue-lookup", "/glue/", "safe", 2000, 600, 2, shardedService),
                        route("sample-order", "/order/", "unsafe", 2500, 800, 1, shardedService),
                        route("datasheet-pull", "/sheet/", "download", 4000, 600, 2, copiesService),
                        route("cure-guide", "/guide/", "safe", 8000, 2500, 2, copiesService)});
}

json configuration()
{
    json sharded{{"name", shardedService},
                 {"health_path", "/health"},
                 {"max_connections", 130},
                 {"protocol", "h1"},
                 {"tls", false},
                 {"sharded", true},
                 {"warm", 3.0},
                 {"grants", "heartbeat"}};
    json copies{{"name", copiesService}, {"health_path", "/health"}, {"max_connections", 130}, {"protocol", "h1"}, {"tls", false}};
    return {{"version", 7},
            {"routes", routes()},
            {"services", json::array({sharded, copies})},
            {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 67108864}, {"header_timeout", 3000}, {"idle_timeout", 15000}}}};
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
    return text;
}

} // namespace

Machine::Machine(std::string name, std::string zone, std::string service, std::string ip, Ports ports)
    : m_name(std::move(name))
    , m_zone(std::move(zone))
    , m_service(std::move(service))
    , m_ip(std::move(ip))
    , m_ports(ports)
{
}

/** Fills in deploy/node.yaml.template as the platform does, with the figures of the site gluedesk-th. */
std::string Machine::settings(const Address &store, bool firstStart) const
{
    std::ifstream file("deploy/node.yaml.template");
    std::ostringstream read;
    read << file.rdbuf();
    const auto listen = [this](std::uint16_t port) { return m_ip + ':' + std::to_string(port); };
    const std::vector<std::pair<std::string, std::string>> values{
        {"{{node_name|json}}", '"' + m_name + '"'},
        {"{{zone|json}}", '"' + m_zone + '"'},
        {"{{region|json}}", "\"th-central\""},
        {"{{service|json}}", '"' + m_service + '"'},
        {"{{platform.address}}", store.text()},
        {"{{platform.row_bytes}}", "65536"},
        {"{{heartbeat}}", "870"},
        {"{{bounds.grace}}", "6"},
        {"{{limits.link_mbps}}", "1000.0"},
        {"{{#bootstrap}}firstStart: true{{/bootstrap}}", firstStart ? "firstStart: true" : ""},
        {"{{listen.outbound}}", listen(m_ports.outbound)},
        {"{{listen.inbound}}", listen(m_ports.inbound)},
        {"{{ip}}:{{port_range.0}}", listen(m_ports.peer)},
        {"{{listen.control}}", listen(m_ports.control)},
        {"{{listen.ready_addr}}", listen(m_ports.ready)},
        {"{{bounds.hold_max}}", "10000"},
        {"{{bounds.retry_budget_ratio}}", "0.2"},
        {"{{bounds.retry_budget_slack}}", "62"},
        {"{{bounds.budget_window}}", "10"},
    };
    std::string text = read.str();
    for (const auto &[from, to] : values) {
        text = replaced(std::move(text), from, to);
    }
    return text;
}

bool Machine::startNode(const Address &store, const std::string &folder, bool firstStart)
{
    const std::string file = folder + '/' + m_name + ".yaml";
    std::ofstream(file) << settings(store, firstStart);
    const std::string log = folder + '/' + m_name + ".log";
    m_pid = fork();
    if (m_pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, 1);
        dup2(output, 2);
        setenv("NUTMEGHINGE_BOOT", file.c_str(), 1);
        execl(program, program, "--settings", file.c_str(), nullptr);
        _exit(127);
    }
    return m_pid > 0;
}

bool Machine::isReady() const
{
    Connection connection = Connection::open({m_ip, m_ports.ready}, Milliseconds(500));
    Message question;
    question.method = "GET";
    question.path = "/readyz";
    question.headers = {{"Host", m_ip}};
    if (!connection.isOpen() || !connection.write(requestText(question))) {
        return false;
    }
    const std::optional<Message> answer = connection.readHead(Clock::now() + Milliseconds(500));
    return answer && answer->status == 200;
}

void Machine::signalNode(int number) const
{
    if (m_pid > 0) {
        kill(m_pid, number);
    }
}

bool Machine::hasEnded()
{
    if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
        m_pid = -1;
    }
    return m_pid < 0;
}

std::size_t Machine::peakMemory() const
{
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::stoul(line.substr(6)) / 1024;
        }
    }
    return 0;
}

Deployment::Deployment(Options options, Record &record)
    : m_options(std::move(options))
    , m_record(record)
{
}

Deployment::~Deployment()
{
    // Threads of the backends run until the process ends.
    for (auto &backend : m_backends) {
        static_cast<void>(backend.release());
    }
    for (const auto &machine : m_machines) {
        machine->signalNode(SIGKILL);
        while (!machine->hasEnded()) {
            std::this_thread::sleep_for(Milliseconds(5));
        }
    }
    if (std::getenv("KEEP") == nullptr && m_folder.starts_with("/tmp/")) {
        for (const auto &machine : m_machines) {
            unlink((m_folder + '/' + machine->name() + ".yaml").c_str());
            unlink((m_folder + '/' + machine->name() + ".log").c_str());
        }
        rmdir(m_folder.c_str());
    }
}

bool Deployment::start()
{
    std::string folder = "/tmp/review-XXXXXX";
    if (mkdtemp(folder.data()) == nullptr) {
        return false;
    }
    m_folder = folder;
    m_record.say("folder of settings and logs: " + m_folder);
    // Addresses of 127.0.0.0/8 that depend on the process, so that two runs do not meet.
    const std::string network = "127." + std::to_string(16 + getpid() % 200) + '.' + std::to_string(getpid() / 200 % 250) + '.';
    const Machine::Ports ports{.inbound = 8146, .outbound = 8147, .ready = 8141, .control = 8144, .peer = 7380, .app = 8145};
    m_storeAddress = {network + "250", 8142};
    const unsigned count = m_options.sharded + m_options.copies;
    for (unsigned i = 0; i < count; ++i) {
        const bool sharded = i < m_options.sharded;
        const std::string zone = zones[i % zones.size()];
        const char *service = sharded ? shardedService : copiesService;
        const std::string name = std::string("sidecar-") + zone + '-' + std::to_string(i + 1);
        m_machines.push_back(std::make_unique<Machine>(name, zone, service, network + std::to_string(i + 1), ports));
        for (const std::uint16_t port : {ports.inbound, ports.outbound, ports.ready, ports.control, ports.peer, ports.app}) {
            if (!isFree({m_machines.back()->ip(), port})) {
                m_record.say("a port is taken: " + m_machines.back()->ip() + ':' + std::to_string(port));
                return false;
            }
        }
    }
    m_store->put("op", "config", configuration().dump());
    if (!m_store->start(m_storeAddress)) {
        return false;
    }
    for (const auto &machine : m_machines) {
        Backend::Options options;
        options.id = "i-" + machine->name();
        options.service = machine->service();
        options.zone = machine->zone();
        options.address = machine->app();
        options.control = machine->control();
        options.sharded = machine->service() == shardedService;
        options.faulty = options.sharded ? nullptr : m_options.faultyCopies;
        m_backends.push_back(std::make_unique<Backend>(std::move(options), m_record));
        if (!m_backends.back()->start() || !machine->startNode(m_storeAddress, m_folder, true)) {
            return false;
        }
    }
    return true;
}

bool Deployment::waitUntilSteady(std::chrono::seconds limit)
{
    const Clock::time_point end = Clock::now() + limit;
    Clock::time_point steadySince = Clock::time_point::max();
    while (Clock::now() < end) {
        std::size_t held = 0;
        for (const auto &backend : m_backends) {
            held += backend->heldCount();
        }
        const bool ready = std::ranges::all_of(m_machines, [](const auto &machine) { return machine->isReady(); });
        if (!ready || held != keyCount) {
            steadySince = Clock::time_point::max();
        } else if (steadySince == Clock::time_point::max()) {
            steadySince = Clock::now();
        } else if (Clock::now() - steadySince > std::chrono::seconds(4)) {
            return true;
        }
        std::this_thread::sleep_for(Milliseconds(50));
    }
    return false;
}

Message clientRequest(const std::string &method, const std::string &path, const std::string &attempt, Milliseconds timeLimit)
{
    Message request;
    request.method = method;
    request.path = path;
    request.headers = {{"Host", host}, {"Nutmeghinge-Attempt-Id", attempt}, {"Nutmeghinge-Deadline-Remaining", std::to_string(timeLimit.count())}};
    return request;
}

bool withTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string_view(trouble) != "0";
}

void finish(int code)
{
    std::fflush(stdout);
    std::_Exit(code);
}

} // namespace review
