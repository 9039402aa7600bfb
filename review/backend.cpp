#include "backend.h"

#include <algorithm>
#include <thread>

namespace review {

namespace {

using nlohmann::json;

constexpr Milliseconds reportTimeout{1000};
constexpr Milliseconds releaseInterval{100};

std::uint64_t wallMilliseconds()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

Message refusal(int status, const std::string &id)
{
    Message answer;
    answer.status = status;
    answer.headers = {{"Nutmeghinge-Not-Executed", "1"}, {"Nutmeghinge-Instance-Id", id}};
    return answer;
}

} // namespace

std::size_t numberInQuery(const std::string &path, const std::string &name, std::size_t otherwise)
{
    std::size_t at = path.find('?' + name + '=');
    at = at == std::string::npos ? path.find('&' + name + '=') : at;
    return at == std::string::npos ? otherwise : std::stoul(path.substr(at + name.size() + 2));
}

Backend::Backend(Options options, Record &record)
    : m_options(std::move(options))
    , m_record(record)
    , m_born(wallMilliseconds())
{
}

bool Backend::start()
{
    if (!listenAt(m_options.address, [this](Connection connection) { serve(std::move(connection)); })) {
        return false;
    }
    std::thread([this] { reportLoop(); }).detach();
    return true;
}

std::vector<std::uint64_t> Backend::held()
{
    const std::lock_guard lock(m_mutex);
    dropExpired();
    return m_held;
}

std::size_t Backend::heldCount()
{
    const std::vector<std::uint64_t> now = held();
    return static_cast<std::size_t>(std::ranges::count_if(now, [](std::uint64_t fence) { return fence != 0; }));
}

void Backend::reportLoop()
{
    while (!m_leaving) {
        const Clock::time_point next = Clock::now() + m_options.heartbeat;
        bool releasing = report();
        while (releasing && Clock::now() + releaseInterval < next) {
            std::this_thread::sleep_for(releaseInterval);
            releasing = report();
        }
        std::this_thread::sleep_until(next);
    }
}

std::vector<Clock::time_point> Backend::runTimes()
{
    const std::lock_guard lock(m_mutex);
    return m_runTimes;
}

Message Backend::delayedReport()
{
    return reportRequest();
}

bool Backend::leave()
{
    m_leaving = true;
    Message request;
    request.method = "DELETE";
    request.path = "/v1/instances/" + m_options.id;
    request.headers = {{"Host", m_options.control.text()}};
    Connection connection = Connection::open(m_options.control, reportTimeout);
    if (!connection.isOpen() || !connection.write(requestText(request))) {
        return false;
    }
    const std::optional<Message> answer = connection.read(Clock::now() + reportTimeout);
    return answer && answer->status == 200;
}

Message Backend::reportRequest()
{
    Message request;
    request.method = "PUT";
    request.path = "/v1/instances/" + m_options.id;
    request.headers = {{"Host", m_options.control.text()}, {"Content-Type", "application/json"}};
    request.body = statusReport().dump();
    return request;
}

bool Backend::report()
{
    const Clock::time_point sentAt = Clock::now();
    const Message request = reportRequest();
    Connection connection = Connection::open(m_options.control, reportTimeout);
    if (!connection.isOpen() || !connection.write(requestText(request))) {
        return false;
    }
    const std::optional<Message> answer = connection.read(sentAt + reportTimeout);
    return answer && answer->status == 200 && applyAnswer(*answer, sentAt);
}

json Backend::statusReport()
{
    const std::lock_guard lock(m_mutex);
    dropExpired();
    json holds = json::array();
    for (const Range &range : ranges()) {
        holds.push_back({range.first, range.last, range.fence});
    }
    json released = json::array();
    for (const Range &range : m_released) {
        released.push_back({range.first, range.last, std::to_string(range.fence) + "-" + m_options.id});
    }
    json report{{"service", m_options.service},
                {"address", m_options.address.text()},
                {"zone", m_options.zone},
                {"version", "v1"},
                {"slots", m_options.slots},
                {"state", "ready"},
                {"warmup_left", 0},
                {"sequence", ++m_sequence},
                {"born", m_born}};
    if (m_options.sharded) {
        report["holds"] = std::move(holds);
        report["released"] = std::move(released);
    }
    return report;
}

bool Backend::applyAnswer(const Message &answer, Clock::time_point sentAt)
{
    const json body = json::parse(answer.body, nullptr, false);
    const std::lock_guard lock(m_mutex);
    m_released.clear();
    if (!body.is_object() || !body.contains("holds")) {
        return false;
    }
    std::vector<std::uint64_t> wanted(keyCount, 0);
    for (const json &row : body.at("holds")) {
        const auto first = row.at(0).get<std::uint32_t>();
        const auto last = row.at(1).get<std::uint32_t>();
        const auto fence = row.at(2).get<std::uint64_t>();
        const bool accepted = std::all_of(m_highestFence.begin() + first, m_highestFence.begin() + last + 1, [&](std::uint64_t seen) { return seen <= fence; });
        for (std::uint32_t key = first; accepted && key <= last; ++key) {
            wanted[key] = fence;
            m_highestFence[key] = fence;
        }
    }
    bool releasing = false;
    for (std::uint32_t key = 0; key < keyCount; ++key) {
        if (m_held[key] != 0 && wanted[key] == 0) {
            if (m_runningOnKey[key] > 0) {
                wanted[key] = m_held[key];
            } else if (!m_released.empty() && m_released.back().last + 1 == key) {
                m_released.back().last = key;
            } else {
                m_released.push_back({key, key, m_held[key]});
            }
            releasing = true;
        }
    }
    m_held = std::move(wanted);
    m_leaseEnd = sentAt + Milliseconds(body.at("hold_time").get<std::int64_t>());
    return releasing;
}

void Backend::dropExpired()
{
    if (Clock::now() >= m_leaseEnd) {
        std::ranges::fill(m_held, 0);
    }
}

std::vector<Backend::Range> Backend::ranges()
{
    std::vector<Range> result;
    for (std::uint32_t key = 0; key < keyCount; ++key) {
        if (m_held[key] == 0) {
            continue;
        }
        if (!result.empty() && result.back().last + 1 == key && result.back().fence == m_held[key]) {
            result.back().last = key;
        } else {
            result.push_back({key, key, m_held[key]});
        }
    }
    return result;
}

void Backend::serve(Connection connection)
{
    while (const auto request = connection.read(Clock::now() + std::chrono::minutes(10))) {
        std::optional<Message> refused = refusalOf(*request);
        if (refused) {
            refused->headers.emplace_back("Nutmeghinge-Attempt-Id", request->header("nutmeghinge-attempt-id"));
            if (!connection.write(answerText(*refused))) {
                return;
            }
        } else if (!run(*request, connection)) {
            return;
        }
    }
}

std::optional<Message> Backend::refusalOf(const Message &request)
{
    const std::string expected = request.header("nutmeghinge-target-instance");
    if (!expected.empty() && expected != m_options.id) {
        return refusal(421, m_options.id);
    }
    const std::string key = request.header("nutmeghinge-shard-key");
    if (m_options.sharded && !key.empty()) {
        const std::lock_guard lock(m_mutex);
        dropExpired();
        if (m_held[std::stoul(key) % keyCount] == 0) {
            return refusal(421, m_options.id);
        }
    }
    return std::nullopt;
}

bool Backend::run(const Message &request, Connection &connection)
{
    const std::string attempt = request.header("nutmeghinge-attempt-id");
    const std::string key = request.header("nutmeghinge-shard-key");
    const std::size_t index = key.empty() ? 0 : std::stoul(key) % keyCount;
    {
        std::unique_lock lock(m_mutex);
        m_slotFree.wait(lock, [&] { return m_running < m_options.slots; });
        ++m_running;
        ++m_runningOnKey[index];
    }
    {
        const std::lock_guard lock(m_mutex);
        m_runTimes.push_back(Clock::now());
    }
    m_record.add("run      " + m_options.id + " began " + attempt + ' ' + request.method + ' ' + request.path + (key.empty() ? "" : " key " + key));
    const Clock::time_point doneAt = Clock::now() + Milliseconds(numberInQuery(request.path, "work", 20));
    bool dropped = false;
    while (!dropped && Clock::now() < doneAt) {
        std::this_thread::sleep_for(Milliseconds(5));
        dropped = connection.hasPeerLeft();
    }
    {
        const std::lock_guard lock(m_mutex);
        --m_running;
        --m_runningOnKey[index];
    }
    m_slotFree.notify_one();
    if (dropped) {
        m_record.add("run      " + m_options.id + " dropped " + attempt + ", as its connection closed");
        return false;
    }
    Message answer;
    answer.status = 200;
    answer.headers = {{"Nutmeghinge-Attempt-Id", attempt}, {"Nutmeghinge-Response-Stamp", m_options.id + '.' + attempt}};
    answer.body = std::string(numberInQuery(request.path, "size", 200), 'x');
    std::string text = answerText(answer);
    const bool spoils = m_options.faulty && *m_options.faulty && numberInQuery(request.path, "spoil", 0) == 1;
    if (spoils) {
        text.resize(text.size() - answer.body.size() / 2);
        connection.write(text);
        m_record.add("run      " + m_options.id + " broke off its answer to " + attempt);
        return false;
    }
    const bool written = connection.write(text);
    m_record.add("run      " + m_options.id + (written ? " answered " : " could not answer ") + attempt);
    return written;
}

} // namespace review
