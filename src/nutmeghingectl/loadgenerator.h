#pragma once

#include "httpclient.h"
#include "loadoptions.h"
#include "loadreport.h"
#include "loadrequest.h"
#include "zipfdistribution.h"

#include <functional>
#include <map>
#include <memory>
#include <random>

namespace nutmeghinge {

class EventLoop;

/**
 * Sends requests at a rate that doesn't depend on their answers, checks each
 * answer, and compares the targets' executions at the end. The loop must outlive it.
 */
class LoadGenerator
{
public:
    LoadGenerator(EventLoop &loop, LoadOptions options);

    /** Starts the run. Calls finished once all requests have ended and the executions are compared. */
    void start(std::function<void()> finished);
    /** Statistics of the run; complete once it has finished. */
    const LoadReport &report() const { return m_report; }

private:
    class Attempt;

    /** Sends the requests that are due and schedules the next call. */
    void sendDueRequests();
    LoadRequest nextRequest();
    /** Sends one attempt. entry is the index of the caller listener; it wraps around at their number. */
    void send(const LoadRequest &request, std::uint32_t earlierAttempts, std::size_t entry);
    HttpClientRequest toHttpRequest(const LoadRequest &request) const;
    void attemptEnded(const Attempt &attempt, LoadOutcome outcome, const std::string &target);
    bool shouldRetry(const Attempt &attempt, LoadOutcome outcome) const;
    void finishIfDone();
    void readExecutions();
    /** Called after each target's executions were read or failed; ends the run after the last one. */
    void onExecutionsRead();

    EventLoop &m_loop;
    LoadOptions m_options;
    HttpClient m_client;
    std::mt19937_64 m_random;
    ZipfDistribution m_keys;
    LoadReport m_report;
    std::function<void()> m_finished;
    MonotonicTime m_start;
    MonotonicTime m_nextDue;
    bool m_allSent = false;
    std::uint64_t m_sequence = 0;
    std::size_t m_nextEntry = 0;
    std::uint64_t m_openRequests = 0;
    std::map<std::string, std::uint64_t> m_executions;
    std::size_t m_pendingExecutionReads = 0;
    /** Number of targets whose executions could not be read. */
    std::size_t m_unreadTargets = 0;
    /** Timers of the loop hold a weak reference to it, since they may outlive the generator. */
    std::shared_ptr<void> m_alive = std::make_shared<char>();
};

} // namespace nutmeghinge
