#include "platformstandin.h"

#include "eventloop.h"
#include "httpexchange.h"
#include "jsonanswer.h"
#include "jsonreader.h"
#include "percentencoding.h"

namespace nutmeghinge {

namespace {

using nlohmann::json;

constexpr std::uint64_t bodyLimitBytes = std::uint64_t(8) << 20U;
const std::string rowsPath = "/table/rows";
const std::string objectsPath = "/objects/";

json toJson(const TableRow &row)
{
    return {{"key", row.key}, {"version", row.version.value()}, {"value", row.value}};
}

PlatformStore::Transaction transactionOf(JsonReader &reader, const json &from)
{
    PlatformStore::Transaction transaction;
    for (const json &condition : reader.list(from, "conditions")) {
        transaction.conditions.push_back({reader.text(condition, "key"), RowVersion(reader.number(condition, "version"))});
    }
    for (const json &write : reader.list(from, "writes")) {
        transaction.writes.push_back({reader.text(write, "key"), reader.text(write, "value")});
    }
    for (const json &key : reader.list(from, "deletes")) {
        reader.check(key.is_string(), "deletes");
        transaction.deletes.push_back(key.is_string() ? key.get<std::string>() : std::string());
    }
    return transaction;
}

} // namespace

PlatformStandin::PlatformStandin(EventLoop &loop)
    : m_loop(loop)
    , m_server(loop, {bodyLimitBytes, "platform"}, [this](const std::shared_ptr<HttpExchange> &exchange) { handleRequest(exchange); })
{
}

void PlatformStandin::handleRequest(const std::shared_ptr<HttpExchange> &exchange)
{
    if (exchange->request().path == "/control") {
        handleControl(*exchange);
        return;
    }
    if (m_faults.down) {
        exchange->reset();
        return;
    }
    if (m_faults.delayMs > 0) {
        m_loop.callLater(std::chrono::milliseconds(m_faults.delayMs), [this, exchange] { serve(*exchange); });
        return;
    }
    serve(*exchange);
}

void PlatformStandin::handleControl(HttpExchange &exchange)
{
    if (exchange.request().method == "POST") {
        JsonReader reader;
        const json body = reader.parse(exchange.request().body);
        Faults faults = m_faults;
        faults.down = body.contains("down") ? reader.flag(body, "down") : faults.down;
        faults.delayMs = body.contains("delayMs") ? reader.number(body, "delayMs") : faults.delayMs;
        faults.dropAnswers = body.contains("dropAnswers") ? reader.number(body, "dropAnswers") : faults.dropAnswers;
        faults.failNext = body.contains("failNext") ? reader.number(body, "failNext") : faults.failNext;
        if (reader.error()) {
            answerBadRequest(exchange, *reader.error());
            return;
        }
        m_faults = faults;
    }
    answerJson(exchange,
               200,
               {{"reads", m_reads},
                {"writes", m_writes},
                {"conflicts", m_conflicts},
                {"down", m_faults.down},
                {"delayMs", m_faults.delayMs},
                {"dropAnswers", m_faults.dropAnswers},
                {"failNext", m_faults.failNext}});
}

void PlatformStandin::serve(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    const bool isRead = request.method == "GET";
    ++(isRead ? m_reads : m_writes);
    if (m_faults.failNext > 0) {
        --m_faults.failNext;
        answerJson(exchange, 500, {{"reason", "failure injected by failNext"}});
        return;
    }
    const std::string path = percentDecode(request.path.substr(0, request.path.find('?')));
    if (isRead && path == rowsPath) {
        serveRows(exchange);
    } else if (isRead && path.starts_with(rowsPath + '/')) {
        serveRow(exchange, path.substr(rowsPath.size() + 1));
    } else if (request.method == "POST" && path == "/table/transact") {
        serveTransaction(exchange);
    } else if (path.starts_with(objectsPath)) {
        serveObject(exchange, path.substr(objectsPath.size()));
    } else {
        answerBadRequest(exchange, "unknown method or path");
    }
}

void PlatformStandin::serveRow(HttpExchange &exchange, const std::string &key)
{
    const std::optional<TableRow> row = m_store.row(key);
    if (!row) {
        answerJson(exchange, 404, json::object());
        return;
    }
    answerJson(exchange, 200, toJson(*row));
}

void PlatformStandin::serveRows(HttpExchange &exchange)
{
    json rows = json::array();
    for (const TableRow &row : m_store.rows(queryParameter(exchange.request().path, "prefix"))) {
        rows.push_back(toJson(row));
    }
    answerJson(exchange, 200, {{"rows", std::move(rows)}});
}

void PlatformStandin::serveTransaction(HttpExchange &exchange)
{
    JsonReader reader;
    const PlatformStore::Transaction transaction = transactionOf(reader, reader.parse(exchange.request().body));
    if (reader.error()) {
        answerBadRequest(exchange, *reader.error());
        return;
    }
    const auto result = m_store.transact(transaction);
    if (const auto *versions = std::get_if<PlatformStore::Versions>(&result)) {
        answerWrite(exchange, 200, {{"versions", *versions}});
        return;
    }
    ++m_conflicts;
    json conflicts = json::array();
    for (const RowCondition &conflict : std::get<PlatformStore::Conflicts>(result)) {
        conflicts.push_back({{"key", conflict.key}, {"version", conflict.version.value()}});
    }
    answerWrite(exchange, 409, {{"conflicts", std::move(conflicts)}});
}

void PlatformStandin::serveObject(HttpExchange &exchange, const std::string &name)
{
    if (exchange.request().method == "PUT") {
        const bool isNew = m_store.putObject(name, exchange.request().body);
        answerWrite(exchange, isNew ? 201 : 409, json::object());
        return;
    }
    std::optional<std::string> content = m_store.object(name);
    if (!content) {
        answerJson(exchange, 404, json::object());
        return;
    }
    exchange.answer(200, {{"content-type", "application/octet-stream"}}, std::move(*content));
}

void PlatformStandin::answerWrite(HttpExchange &exchange, std::uint16_t status, const json &body)
{
    if (m_faults.dropAnswers > 0) {
        --m_faults.dropAnswers;
        exchange.reset();
        return;
    }
    answerJson(exchange, status, body);
}

} // namespace nutmeghinge
