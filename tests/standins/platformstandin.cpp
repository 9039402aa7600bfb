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
/** Rows that operators write; they write them again after a restoration. */
const std::string documentPrefix = "document/";

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
        const json body = reader.parse(exchange.request().body.text());
        Faults faults = m_faults;
        faults.down = body.contains("down") ? reader.flag(body, "down") : faults.down;
        faults.delayMs = body.contains("delayMs") ? reader.number(body, "delayMs") : faults.delayMs;
        faults.dropAnswers = body.contains("dropAnswers") ? reader.number(body, "dropAnswers") : faults.dropAnswers;
        faults.countsRestorations = body.contains("countsRestorations") ? reader.flag(body, "countsRestorations") : faults.countsRestorations;
        const std::uint64_t restoreAgeMs = body.contains("restoreAgeMs") ? reader.number(body, "restoreAgeMs") : 0;
        faults.failNext = body.contains("failNext") ? reader.number(body, "failNext") : faults.failNext;
        if (reader.error()) {
            answerBadRequest(exchange, *reader.error());
            return;
        }
        m_faults = faults;
        if (restoreAgeMs > 0) {
            m_store.restore(m_loop.now().time_since_epoch() - std::chrono::milliseconds(restoreAgeMs), documentPrefix);
        }
    }
    answerJson(exchange,
               200,
               {{"reads", m_reads},
                {"writes", m_writes},
                {"conflicts", m_conflicts},
                {"down", m_faults.down},
                {"delayMs", m_faults.delayMs},
                {"dropAnswers", m_faults.dropAnswers},
                {"failNext", m_faults.failNext},
                {"restorations", m_store.restorations()}});
}

void PlatformStandin::serve(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    const bool isRead = request.method == "GET";
    ++(isRead ? m_reads : m_writes);
    if (m_faults.failNext > 0) {
        --m_faults.failNext;
        answer(exchange, 500, {{"reason", "failure injected by failNext"}});
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
        answer(exchange, 400, {{"reason", "unknown method or path"}});
    }
}

void PlatformStandin::serveRow(HttpExchange &exchange, const std::string &key)
{
    const std::optional<TableRow> row = m_store.row(key);
    if (!row) {
        answer(exchange, 404, json::object());
        return;
    }
    answer(exchange, 200, toJson(*row));
}

void PlatformStandin::serveRows(HttpExchange &exchange)
{
    json rows = json::array();
    for (const TableRow &row : m_store.rows(queryParameter(exchange.request().path, "prefix"))) {
        rows.push_back(toJson(row));
    }
    answer(exchange, 200, {{"rows", std::move(rows)}});
}

void PlatformStandin::serveTransaction(HttpExchange &exchange)
{
    JsonReader reader;
    const PlatformStore::Transaction transaction = transactionOf(reader, reader.parse(exchange.request().body.text()));
    if (reader.error()) {
        answer(exchange, 400, {{"reason", *reader.error()}});
        return;
    }
    const auto result = m_store.transact(transaction);
    if (const auto *versions = std::get_if<PlatformStore::Versions>(&result)) {
        m_store.keepCopy(m_loop.now().time_since_epoch());
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
        const bool isNew = m_store.putObject(name, exchange.request().body.text());
        answerWrite(exchange, isNew ? 201 : 409, json::object());
        return;
    }
    std::optional<std::string> content = m_store.object(name);
    if (!content) {
        answer(exchange, 404, json::object());
        return;
    }
    exchange.answer(200, headers("application/octet-stream"), std::move(*content));
}

void PlatformStandin::answer(HttpExchange &exchange, std::uint16_t status, const json &body)
{
    exchange.answer(status, headers("application/json"), jsonToText(body));
}

/** Returns the headers of an answer about the table. */
HttpHeaders PlatformStandin::headers(std::string contentType) const
{
    HttpHeaders result{{"content-type", std::move(contentType)}};
    if (m_faults.countsRestorations) {
        result.emplace_back("table-restorations", std::to_string(m_store.restorations()));
    }
    return result;
}

void PlatformStandin::answerWrite(HttpExchange &exchange, std::uint16_t status, const json &body)
{
    if (m_faults.dropAnswers > 0) {
        --m_faults.dropAnswers;
        exchange.reset();
        return;
    }
    answer(exchange, status, body);
}

} // namespace nutmeghinge
