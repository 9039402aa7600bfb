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
 * answer, and compares the targets' executions at the end. Borrows the loop.
 */
class LoadGenerator
{
public:
    LoadGenerator(EventLoop &loop, LoadOptions options);

    /** Starts the run; the function is called once all requests and comparisons have ended. */
    void start(std::function<void()> finished);
    const LoadReport &report() const { return m_report; }

private:
    class Attempt;

    void sendDue();
    LoadRequest nextRequest();
    /** entry counts on beyond the last one, from the first again. */
    void send(const LoadRequest &request, std::uint32_t earlierAttempts, std::size_t entry);
    HttpClientRequest messageOf(const LoadRequest &request) const;
    void attemptEnded(const Attempt &attempt, LoadOutcome outcome, const std::string &target);
    bool sendsAgain(const Attempt &attempt, LoadOutcome outcome) const;
    void finishIfDone();
    void readExecutions();
    void executionsRead();

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
    std::size_t m_openTargets = 0;
    std::size_t m_unreadTargets = 0;
    /** The loop's timers hold it weakly, since they may outlive this. */
    std::shared_ptr<void> m_alive = std::make_shared<char>();
};

} // namespace nutmeghinge
