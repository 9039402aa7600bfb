#include "store.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

namespace review {

namespace {

using nlohmann::json;

constexpr Milliseconds transactionTime{4};
constexpr std::size_t maximumRows = 500;

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

std::map<std::string, std::string> queryOf(std::string_view path)
{
    std::map<std::string, std::string> query;
    const std::size_t mark = path.find('?');
    std::string_view rest = mark == std::string_view::npos ? std::string_view() : path.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        const std::size_t equals = std::min(pair.find('='), pair.size());
        query[percentDecoded(pair.substr(0, equals))] = percentDecoded(pair.substr(std::min(equals + 1, pair.size())));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return query;
}

std::string valueOf(const std::map<std::string, std::string> &query, const std::string &name)
{
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

Message jsonAnswer(int status, const json &body)
{
    Message answer;
    answer.status = status;
    answer.headers = {{"content-type", "application/json"}};
    answer.body = body.dump();
    return answer;
}

} // namespace

std::string toBase64(const std::string &bytes)
{
    static constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63U] : '=';
        }
    }
    return text;
}

bool Store::start(const Address &address)
{
    return listenAt(address, [this](Connection connection) { serve(std::move(connection)); });
}

void Store::put(const std::string &table, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    m_rows[{table, "", key}] = {toBase64(value), ++m_version, false};
    m_changed.notify_all();
}

void Store::serve(Connection connection)
{
    while (const auto request = connection.read(Clock::now() + std::chrono::minutes(10))) {
        if (!connection.write(answerText(answer(*request)))) {
            return;
        }
    }
}

Message Store::answer(const Message &request)
{
    std::this_thread::sleep_for(transactionTime);
    const std::string path = request.path.substr(0, request.path.find('?'));
    const auto query = queryOf(request.path);
    {
        const std::lock_guard lock(m_mutex);
        ++m_calls;
    }
    if (request.method == "POST" && path == "/v1/rows-tx") {
        return transact(request.body);
    }
    if (request.method == "GET" && path == "/v1/rows-get") {
        return rows(query);
    }
    if (request.method == "GET" && path == "/v1/rows-feed") {
        return feed(query);
    }
    return jsonAnswer(404, {{"error", "unknown call"}});
}

Message Store::transact(const std::string &body)
{
    const json call = json::parse(body);
    const auto keyOf = [](const json &row) { return Key{row.at("table"), row.value("part", ""), row.at("key")}; };
    const std::lock_guard lock(m_mutex);
    const auto now = std::chrono::duration_cast<Milliseconds>(Clock::now() - m_startedAt).count();
    json current = json::array();
    bool holds = true;
    for (const json &expected : call.value("expect", json::array())) {
        const auto found = m_rows.find(keyOf(expected));
        const bool exists = found != m_rows.end() && !found->second.removed;
        holds = holds && expected.at("ver").get<std::uint64_t>() == (exists ? found->second.version : 0);
        if (exists) {
            const auto &[table, part, key] = found->first;
            current.push_back({{"table", table}, {"part", part}, {"key", key}, {"value", found->second.value}, {"ver", found->second.version}});
        }
    }
    if (!holds) {
        return jsonAnswer(412, {{"rows", current}, {"ver", m_version}, {"now", now}});
    }
    ++m_version;
    for (const json &row : call.value("writes", json::array())) {
        if (row.at("table") == "op" || row.at("table") == "servers") {
            return jsonAnswer(403, {{"error", "read only"}});
        }
        m_rows[keyOf(row)] = {row.at("value"), m_version, false};
    }
    for (const json &row : call.value("remove", json::array())) {
        m_rows[keyOf(row)] = {"", m_version, true};
    }
    m_changed.notify_all();
    return jsonAnswer(200, {{"ver", m_version}, {"now", now}});
}

Message Store::rows(const std::map<std::string, std::string> &query)
{
    const std::lock_guard lock(m_mutex);
    const std::string limit = valueOf(query, "limit");
    const std::size_t most = limit.empty() ? maximumRows : std::min<std::size_t>(std::stoul(limit), maximumRows);
    json list = json::array();
    bool more = false;
    for (const auto &[id, row] : m_rows) {
        const auto &[table, part, key] = id;
        const std::string end = valueOf(query, "target");
        if (row.removed || table != valueOf(query, "table") || part != valueOf(query, "part") || key < valueOf(query, "from") || (!end.empty() && key >= end)) {
            continue;
        }
        if (list.size() == most) {
            more = true;
            break;
        }
        list.push_back({{"table", table}, {"part", part}, {"key", key}, {"value", row.value}, {"ver", row.version}});
    }
    const auto now = std::chrono::duration_cast<Milliseconds>(Clock::now() - m_startedAt).count();
    return jsonAnswer(200, {{"rows", list}, {"has_more", more}, {"ver", m_version}, {"now", now}});
}

Message Store::feed(const std::map<std::string, std::string> &query)
{
    const std::uint64_t after = std::stoull(valueOf(query, "after"));
    const Milliseconds wait(std::stoul("0" + valueOf(query, "wait_ms")));
    const std::string table = valueOf(query, "table");
    std::vector<std::pair<Key, Row>> changed;
    const auto collect = [&] {
        changed.clear();
        for (const auto &[id, row] : m_rows) {
            if (std::get<0>(id) == table && row.version > after) {
                changed.emplace_back(id, row);
            }
        }
        return !changed.empty();
    };
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, wait, collect);
    std::ranges::sort(changed, {}, [](const auto &entry) { return entry.second.version; });
    json list = json::array();
    for (const auto &[id, row] : changed) {
        json entry{{"table", table}, {"part", std::get<1>(id)}, {"key", std::get<2>(id)}, {"ver", row.version}};
        if (row.removed) {
            entry["removed"] = true;
        } else {
            entry["value"] = row.value;
        }
        list.push_back(std::move(entry));
    }
    const auto now = std::chrono::duration_cast<Milliseconds>(Clock::now() - m_startedAt).count();
    return jsonAnswer(200, {{"rows", list}, {"ver", m_version}, {"now", now}});
}

} // namespace review
