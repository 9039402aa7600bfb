#pragma once

#include "httpmessage.h"
#include "httpserver.h"
#include "slotqueue.h"
#include "targetannouncer.h"
#include "targetfences.h"
#include "units.h"

#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>

namespace nutmeghinge {

class JsonReader;

/**
 * Stands in for a target: runs requests on its slots, counts each execution of
 * an order, and has the faults of real ones, which POST /control sets. GET
 * /control gives counts, GET /executions the executions of each order.
 */
class TargetStandin
{
public:
    struct Options {
        std::string service;
        std::string name;
        /** Node beside the target; empty: announces to nobody. */
        Endpoint node;
        std::uint32_t slots = 20;
        std::uint32_t connections = 130;
        /** Requests that wait for a slot. */
        std::uint32_t queue = 5;
        std::uint64_t serviceTimeMs = 1;
        bool checkFence = false;
        /** Tells each execution on standard output as it begins: monotonic microseconds, key, fence and order. */
        bool printExecutions = false;
        std::uint64_t incarnation = 1;
        /** Requests take ten times as long for this time after the start. */
        std::uint64_t coldStartMs = 0;
        /** Request header that holds the key, in lower case. */
        std::string keyHeader = "customer-key";
    };

    TargetStandin(EventLoop &loop, Options options);

    std::variant<Endpoint, ListenError> listen(const Endpoint &endpoint);

private:
    struct Faults {
        std::uint64_t lagLoadMs = 0;
        /** /health says the contrary. */
        bool falseHealth = false;
        /** Requests in flight that /load states. */
        std::optional<std::uint64_t> falseLoad;
        /** Next answers that are those of the request before. */
        std::uint64_t crossAnswers = 0;
        /** Next answers that break off half way. */
        std::uint64_t truncateAnswers = 0;
        /** Next requests that run and get no answer. */
        std::uint64_t dropAnswers = 0;
    };
    struct Work;
    struct Answer {
        std::string requestId;
        std::string body;
    };
    struct LoadSample {
        MonotonicTime at;
        std::size_t inFlight = 0;
    };

    void received(const std::shared_ptr<HttpExchange> &exchange);
    void control(HttpExchange &exchange);
    void readFaults(JsonReader &reader, const nlohmann::json &from);
    void setFrozen(bool frozen);
    void answerHealth(HttpExchange &exchange);
    void answerLoad(HttpExchange &exchange);
    void answerGrant(HttpExchange &exchange);
    void answerCounts(HttpExchange &exchange);
    void answerExecutions(HttpExchange &exchange);
    void take(const std::shared_ptr<HttpExchange> &exchange);
    void start(const std::shared_ptr<Work> &work);
    bool refuseOldFence(Work &work);
    void countExecution(Work &work);
    void finish(const std::shared_ptr<Work> &work);
    void sendAnswer(Work &work);
    void sendTruncated(Work &work, const Answer &answer);
    void startDownload(const std::shared_ptr<Work> &work);
    void refuse(HttpExchange &exchange, std::uint16_t status, const std::string &reason, HttpHeaders headers = {});
    void end(Work &work);
    void sampleLoad();
    Duration serviceTime() const;
    nlohmann::json announcement() const;

    EventLoop &m_loop;
    Options m_options;
    MonotonicTime m_startedAt;
    Endpoint m_endpoint;
    Faults m_faults;
    bool m_frozen = false;
    /** What arrived or ended while frozen. */
    std::deque<std::function<void()>> m_deferred;
    std::optional<MonotonicTime> m_drainingSince;
    std::uint64_t m_arrivalsSinceDrain = 0;
    Duration m_lastArrivalAfterDrain{0};
    /** Raised when connections go silent; answers of earlier work go nowhere. */
    std::uint64_t m_silences = 0;
    SlotQueue m_slots;
    TargetFences m_fences;
    std::deque<LoadSample> m_loadSamples;
    std::map<std::string, std::uint64_t> m_executions;
    std::map<std::string, std::uint64_t> m_servedByKey;
    std::map<std::string, std::uint64_t> m_refusals;
    std::uint64_t m_served = 0;
    std::uint64_t m_cancelled = 0;
    Answer m_previousAnswer;
    HttpServer m_server;
    std::optional<TargetAnnouncer> m_announcer;
};

} // namespace nutmeghinge
