#pragma once

#include "httpserver.h"
#include "platformstore.h"

#include <memory>
#include <nlohmann/json.hpp>

namespace nutmeghinge {

/**
 * Stands in for the platform's table service and object store over HTTP.
 * Its faults are set by POST /control; GET /control gives faults and counts.
 */
class PlatformStandin
{
public:
    explicit PlatformStandin(EventLoop &loop);

    std::variant<Endpoint, ListenError> listen(const Endpoint &endpoint) { return m_server.listen(endpoint); }

private:
    struct Faults {
        /** Connections are closed without an answer. */
        bool down = false;
        /** Before a request takes effect; milliseconds. */
        std::uint64_t delayMs = 0;
        /** Next writes that take effect without an answer. */
        std::uint64_t dropAnswers = 0;
        /** Next requests that are answered 500 without effect. */
        std::uint64_t failNext = 0;
    };

    void received(const std::shared_ptr<HttpExchange> &exchange);
    void control(HttpExchange &exchange);
    void serve(HttpExchange &exchange);
    void serveRow(HttpExchange &exchange, const std::string &key);
    void serveRows(HttpExchange &exchange);
    void serveTransaction(HttpExchange &exchange);
    void serveObject(HttpExchange &exchange, const std::string &name);
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
