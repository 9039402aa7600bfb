#pragma once

#include "endpoint.h"
#include "events.h"
#include "httpanswercollector.h"
#include "ids.h"

#include <functional>
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

/** A row that must have this version for a transaction to take effect; 0: it must be absent. */
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
 * The platform's protocol: rows, transactions and objects, without regard to
 * what they mean. Each call ends with one call of its function, PlatformUnavailable
 * after a timeout, a fault or any answer that the protocol doesn't know. Borrows
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
    /** Writes one row, if the conditions hold. */
    void write(const std::vector<RowCondition> &conditions, const RowWrite &row, Function<RowWritten, WriteConflict> function);
    void readObject(const std::string &name, Function<std::string> function);

private:
    void send(std::string method, std::string path, std::string body, HttpAnswerCollector::Function function);

    EventLoop &m_loop;
    HttpClient &m_client;
    Endpoint m_platform;
};

} // namespace nutmeghinge
