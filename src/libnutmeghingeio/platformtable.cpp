#include "platformtable.h"

#include "eventloop.h"
#include "jsonreader.h"
#include "percentencoding.h"

#include <spdlog/spdlog.h>

namespace nutmeghinge {

namespace {

constexpr Duration requestTimeout = std::chrono::seconds(2);
/** States in each answer how often the table was restored from a copy; absent if the platform does not count it. */
constexpr std::string_view restorationsHeader = "table-restorations";
constexpr std::size_t answerLimitBytes = std::size_t(32) << 20U;

TableRow rowOf(JsonReader &reader, const nlohmann::json &json)
{
    return {reader.text(json, "key"), RowVersion(reader.number(json, "version")), reader.text(json, "value")};
}

PlatformUnavailable failedCall(const std::string &operation, const CollectedAnswer &answer)
{
    spdlog::warn("platform: {} failed: {}", operation, answer.summary());
    return {};
}

PlatformUnavailable invalidAnswer(const std::string &operation, const JsonReader &reader)
{
    spdlog::warn("platform: {} failed: invalid answer: {}", operation, *reader.error());
    return {};
}

std::string transactionBody(const std::vector<RowCondition> &conditions, const RowWrite &row, const std::vector<std::string> &deletes)
{
    nlohmann::json body = {{"conditions", nlohmann::json::array()}, {"writes", nlohmann::json::array()}, {"deletes", deletes}};
    for (const RowCondition &condition : conditions) {
        body["conditions"].push_back({{"key", condition.key}, {"version", condition.version.value()}});
    }
    body["writes"].push_back({{"key", row.key}, {"value", row.value}});
    return jsonToText(body);
}

} // namespace

PlatformTable::PlatformTable(EventLoop &loop, HttpClient &client, Endpoint platform)
    : m_loop(loop)
    , m_client(client)
    , m_platform(std::move(platform))
{
}

void PlatformTable::readRow(const std::string &key, Function<TableRow, RowAbsent> function)
{
    send("GET", "/table/rows/" + percentEncode(key), {}, [key, function = std::move(function)](const CollectedAnswer &answer) {
        if (answer.isComplete(404)) {
            function(RowAbsent());
            return;
        }
        if (!answer.isComplete(200)) {
            function(failedCall("reading row " + key, answer));
            return;
        }
        JsonReader reader;
        TableRow row = rowOf(reader, reader.parse(answer.body));
        if (reader.error()) {
            function(invalidAnswer("reading row " + key, reader));
            return;
        }
        function(std::move(row));
    });
}

void PlatformTable::readRows(const std::string &prefix, Function<std::vector<TableRow>> function)
{
    send("GET", "/table/rows?prefix=" + percentEncode(prefix), {}, [prefix, function = std::move(function)](const CollectedAnswer &answer) {
        if (!answer.isComplete(200)) {
            function(failedCall("reading rows with prefix " + prefix, answer));
            return;
        }
        JsonReader reader;
        std::vector<TableRow> rows;
        const nlohmann::json json = reader.parse(answer.body);
        for (const nlohmann::json &row : reader.list(json, "rows")) {
            rows.push_back(rowOf(reader, row));
        }
        if (reader.error()) {
            function(invalidAnswer("reading rows with prefix " + prefix, reader));
            return;
        }
        function(std::move(rows));
    });
}

void PlatformTable::write(const std::vector<RowCondition> &conditions,
                          const RowWrite &row,
                          Function<RowWritten, WriteConflict> function,
                          const std::vector<std::string> &deletes)
{
    const auto finished = [key = row.key, function = std::move(function)](const CollectedAnswer &answer) {
        if (answer.isComplete(409)) {
            function(WriteConflict());
            return;
        }
        if (!answer.isComplete(200)) {
            function(failedCall("writing row " + key, answer));
            return;
        }
        JsonReader reader;
        const nlohmann::json json = reader.parse(answer.body);
        const RowVersion version(reader.number(reader.object(json, "versions"), key.c_str()));
        if (reader.error()) {
            function(invalidAnswer("writing row " + key, reader));
            return;
        }
        function(RowWritten{version});
    };
    send("POST", "/table/transact", transactionBody(conditions, row, deletes), finished);
}

void PlatformTable::readObject(const std::string &name, Function<std::string> function)
{
    send("GET", "/objects/" + percentEncode(name), {}, [name, function = std::move(function)](CollectedAnswer answer) {
        if (!answer.isComplete(200)) {
            function(failedCall("reading object " + name, answer));
            return;
        }
        function(std::move(answer.body));
    });
}

void PlatformTable::readEpoch(CollectedAnswer &answer)
{
    if (answer.result != HttpCallResult::Complete) {
        return;
    }
    const auto read = m_epochReader.read(findHeader(answer.headers, restorationsHeader), answer.status == 200);
    if (const auto *refused = std::get_if<TableEpochReader::Refused>(&read)) {
        spdlog::error("platform: refused an answer with status {}: {}", answer.status, refused->reason);
        answer.result = HttpCallResult::Malformed;
    } else if (const auto *epoch = std::get_if<TableEpoch>(&read)) {
        m_epochChanged(*epoch);
    }
}

void PlatformTable::send(std::string method, std::string path, std::string body, HttpAnswerCollector::Function function)
{
    HttpClientRequest request;
    request.to = m_platform;
    request.use = ConnectionUse::Platform;
    request.method = std::move(method);
    request.path = std::move(path);
    request.headers = {{"host", m_platform.address + ':' + std::to_string(m_platform.port)}};
    if (!body.empty()) {
        request.headers.emplace_back("content-type", "application/json");
        request.body = RequestBody(std::move(body));
    }
    request.deadline = m_loop.now() + requestTimeout;
    request.progressTimeout = requestTimeout;
    const auto finished = [this, exists = std::weak_ptr<void>(m_alive), function = std::move(function)](CollectedAnswer answer) {
        if (exists.expired()) {
            return;
        }
        if (answer.result != HttpCallResult::Complete) {
            // The other idle connections may be broken too.
            m_client.closeIdleConnections(m_platform);
        }
        readEpoch(answer);
        function(std::move(answer));
    };
    m_client.send(std::move(request), std::make_shared<HttpAnswerCollector>(answerLimitBytes, finished));
}

} // namespace nutmeghinge
