#pragma once

#include "endpoint.h"
#include "events.h"
#include "httpanswercollector.h"
#include "ids.h"
#include "tableepochreader.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace nutmeghinge {

class EventLoop;
class HttpClient;

/** A row of the table service. */
struct TableRow {
    std::string key;
    RowVersion version;
    std::string value;
};

/** Condition of a transaction: the row must have this version, or be absent if the version is 0. */
struct RowCondition {
    std::string key;
    RowVersion version;
};

/** A row to write. */
struct RowWrite {
    std::string key;
    std::string value;
};

/**
 * Client of the platform's protocol for rows, transactions and objects. It does not
 * interpret their content. Each call ends with one call of its result function, with
 * PlatformUnavailable after a timeout, an error or an unexpected answer. Borrows
 * loop and client.
 */
class PlatformTable
{
public:
    template <typename... Results>
    using Function = std::function<void(std::variant<Results..., PlatformUnavailable>)>;

    PlatformTable(EventLoop &loop, HttpClient &client, Endpoint platform);

    void readRow(const std::string &key, Function<TableRow, RowAbsent> function);
    void readRows(const std::string &prefix, Function<std::vector<TableRow>> function);
    /** Writes one row and deletes others if all conditions are met. */
    void write(const std::vector<RowCondition> &conditions,
               const RowWrite &row,
               Function<RowWritten, WriteConflict> function,
               const std::vector<std::string> &deletes = {});
    /** Sets the function that is called with a new epoch before the result of the call whose answer states it. */
    void setEpochFunction(std::function<void(TableEpoch)> function) { m_epochChanged = std::move(function); }
    /** Returns the highest epoch that an answer has stated; 0 if none has. */
    TableEpoch epoch() const { return m_epochReader.epoch(); }
    void readObject(const std::string &name, Function<std::string> function);

private:
    void readEpoch(CollectedAnswer &answer);
    void send(std::string method, std::string path, std::string body, HttpAnswerCollector::Function function);

    EventLoop &m_loop;
    HttpClient &m_client;
    Endpoint m_platform;
    TableEpochReader m_epochReader;
    /** Pending calls keep a weak pointer to it, so that an answer is ignored after this client is destroyed. */
    std::shared_ptr<void> m_alive = std::make_shared<char>();
    std::function<void(TableEpoch)> m_epochChanged = [](TableEpoch) {};
};

} // namespace nutmeghinge
