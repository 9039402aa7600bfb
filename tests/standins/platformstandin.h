#pragma once

#include "httpserver.h"
#include "platformstore.h"

#include <memory>
#include <nlohmann/json.hpp>

namespace nutmeghinge {

/**
 * HTTP server that stands in for the platform's table service and object store.
 * POST /control sets the faults to inject; GET /control returns the faults and
 * the counts of reads, writes, conflicts and restorations. "restoreAgeMs" in it restores
 * the rows from a copy of that age, except for documents.
 */
class PlatformStandin
{
public:
    explicit PlatformStandin(EventLoop &loop);

    std::variant<Endpoint, ListenError> listen(const Endpoint &endpoint) { return m_server.listen(endpoint); }

private:
    struct Faults {
        /** Resets each connection on which a request arrives, without an answer. */
        bool down = false;
        /** Delay before each request is processed, in milliseconds. */
        std::uint64_t delayMs = 0;
        /** Number of upcoming writes that are processed, but whose answers are dropped. */
        std::uint64_t dropAnswers = 0;
        /** Number of upcoming requests that are not processed and get status 500. */
        std::uint64_t failNext = 0;
        /** States in each answer how often the rows were restored from a copy. */
        bool countsRestorations = false;
    };

    void handleRequest(const std::shared_ptr<HttpExchange> &exchange);
    void handleControl(HttpExchange &exchange);
    void serve(HttpExchange &exchange);
    void serveRow(HttpExchange &exchange, const std::string &key);
    void serveRows(HttpExchange &exchange);
    void serveTransaction(HttpExchange &exchange);
    void serveObject(HttpExchange &exchange, const std::string &name);
    void answer(HttpExchange &exchange, std::uint16_t status, const nlohmann::json &body);
    HttpHeaders headers(std::string contentType) const;
    void answerWrite(HttpExchange &exchange, std::uint16_t status, const nlohmann::json &body);

    EventLoop &m_loop;
    PlatformStore m_store;
    Faults m_faults;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_conflicts = 0;
    HttpServer m_server;
};

} // namespace nutmeghinge
