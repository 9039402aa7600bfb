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
 * HTTP server that stands in for a target. Runs requests on its slots and counts
 * the executions of each order. POST /control sets the faults to inject; GET
 * /control returns counts, and GET /executions the executions of each order.
 */
class TargetStandin
{
public:
    struct Options {
        std::string service;
        std::string name;
        /** Endpoint of the node for announcements; if empty, the target sends none. */
        Endpoint node;
        /** Largest number of requests that run at the same time. */
        std::uint32_t slots = 20;
        /** Largest number of open connections; requests beyond it are refused. */
        std::uint32_t connections = 130;
        /** Largest number of requests that wait for a slot. */
        std::uint32_t queue = 5;
        std::uint64_t serviceTimeMs = 1;
        bool checkFence = false;
        /** Prints each execution to standard output at its start: monotonic microseconds, key, fence and order. */
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
        /** Age of the load that /load states, in milliseconds. */
        std::uint64_t lagLoadMs = 0;
        /** /health reports that the target is unhealthy. */
        bool falseHealth = false;
        /** Number of requests in flight that /load states in place of the real one. */
        std::optional<std::uint64_t> falseLoad;
        /** Number of upcoming requests that get the answer to the previous request. */
        std::uint64_t crossAnswers = 0;
        /** Number of upcoming answers that are cut off in the middle of the body. */
        std::uint64_t truncateAnswers = 0;
        /** Number of upcoming requests that run, but whose connection is reset without an answer. */
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

    void handleRequest(const std::shared_ptr<HttpExchange> &exchange);
    void handleControl(HttpExchange &exchange);
    void applyControl(JsonReader &reader, const nlohmann::json &from);
    void setFrozen(bool frozen);
    void answerHealth(HttpExchange &exchange);
    void answerLoad(HttpExchange &exchange);
    void answerGrant(HttpExchange &exchange);
    void answerCounts(HttpExchange &exchange);
    void answerExecutions(HttpExchange &exchange);
    void acceptRequest(const std::shared_ptr<HttpExchange> &exchange);
    void startWork(const std::shared_ptr<Work> &work);
    bool refuseOutdatedFence(Work &work);
    void countExecution(Work &work);
    void finishWork(const std::shared_ptr<Work> &work);
    /** Adds what the target says about itself. */
    void appendStatement(HttpHeaders &headers) const;
    void sendAnswer(Work &work);
    void sendTruncated(Work &work, const Answer &answer);
    void startDownload(const std::shared_ptr<Work> &work);
    void refuse(HttpExchange &exchange, std::uint16_t status, const std::string &reason, HttpHeaders headers = {});
    void endWork(Work &work);
    void recordLoadSample();
    Duration serviceTime() const;
    nlohmann::json announcement() const;

    EventLoop &m_loop;
    Options m_options;
    MonotonicTime m_startedAt;
    Endpoint m_endpoint;
    Faults m_faults;
    bool m_frozen = false;
    /** Handling of requests that arrived or finished while the target was frozen, in order. */
    std::deque<std::function<void()>> m_deferred;
    std::optional<MonotonicTime> m_drainingSince;
    std::uint64_t m_arrivalsSinceDrain = 0;
    /** Time from the start of the drain to the last arrival. */
    Duration m_lastArrivalAfterDrain{0};
    /** Number of times that the connections were silenced. Work that arrived before the latest silencing sends no answer. */
    std::uint64_t m_silences = 0;
    SlotQueue m_slots;
    TargetFences m_fences;
    std::deque<LoadSample> m_loadSamples;
    /** Executions by order. */
    std::map<std::string, std::uint64_t> m_executions;
    std::map<std::string, std::uint64_t> m_servedByKey;
    /** Refused requests by reason. */
    std::map<std::string, std::uint64_t> m_refusals;
    std::uint64_t m_served = 0;
    std::uint64_t m_cancelled = 0;
    Answer m_previousAnswer;
    /** Limit that all answers name, in requests per second; empty for none. */
    std::optional<std::uint64_t> m_namedLimit;
    /** All answers say that the target leaves, its announcements do not. */
    bool m_saysLeaving = false;
    HttpServer m_server;
    std::optional<TargetAnnouncer> m_announcer;
};

} // namespace nutmeghinge
