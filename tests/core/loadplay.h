#pragma once

#include "pseudorandom.h"
#include "requestfixture.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmeghinge::test {

/** A kind of request that callers send in a LoadPlay. */
struct LoadKind {
    std::string name = "lookup";
    /** Requests of new callers per second. */
    double perSecond = 10;
    Duration meanWork{std::chrono::milliseconds(200)};
    Duration objective{std::chrono::milliseconds(500)};
    /** Time for which a caller waits, counted from its first attempt. */
    Duration patience{std::chrono::milliseconds(1200)};
    std::uint32_t priority = 1;
    /** Number of times that a caller comes back after a refusal. */
    int returns = 1;
};

/** What the callers of a kind got. */
struct LoadResult {
    int callers = 0;
    int inObjective = 0;
    int late = 0;
    /** Callers whose last attempt was refused. */
    int refused = 0;
    /** Callers that came back after a refusal and were refused again. */
    int refusedAgain = 0;
    int failed = 0;
    /** Longest time that an attempt waited for its refusal. */
    Duration longestRefusal{0};
};

/**
 * Plays load on one node with a target beside it, on a clock of its own: the
 * target has slots, a speed and work of varying length; callers wait as long as
 * they are told and come back. Owned by the test.
 */
class LoadPlay
{
public:
    LoadPlay(std::uint32_t slots, std::vector<LoadKind> kinds, std::uint64_t seed = 1);

    /** Sets the factor on the target's work from the given time of the play on; 2 means half the speed. */
    void setWorkFactor(Duration from, double factor) { m_workFactors[from] = factor; }
    /** Sets the limit that the target names in its answers from the given time of the play on. */
    void setLimit(Duration from, std::optional<RequestRate> limit) { m_limits[from] = limit; }
    /** Returns the times of the play at which requests were sent to the target. */
    const std::vector<Duration> &sentAt() const { return m_sentAt; }
    /** Returns the time of the play at which an answer first named a limit; Duration::max() if none did. */
    Duration limitNamedAt() const { return m_limitNamedAt; }
    /** Sets the time after the start of the play for which the node uses only a part of the target's slots. */
    void setSlowStart(Duration slowStart);
    /** Plays callers for the given time, then until all have left, and prints what they got. */
    std::map<std::string, LoadResult> run(Duration length);

private:
    struct Caller {
        const LoadKind *kind = nullptr;
        MonotonicTime firstAt;
        MonotonicTime sentAt;
        std::string path;
        int attempts = 0;
    };

    void at(MonotonicTime time, std::function<void()> function) { m_functions.emplace(time, std::move(function)); }
    void scheduleArrivals(const LoadKind &kind, MonotonicTime end);
    void send(Caller caller);
    void carryOutEffects();
    void serve(const SendToTarget &sent);
    void refused(const RefuseRequest &refusal);
    Duration drawWork(const LoadKind &kind);
    double drawUniform();

    RouterFixture m_node;
    std::vector<LoadKind> m_kinds;
    PseudoRandom m_random;
    std::map<Duration, double> m_workFactors{{Duration(0), 1.0}};
    std::map<Duration, std::optional<RequestRate>> m_limits{{Duration(0), std::nullopt}};
    std::vector<Duration> m_sentAt;
    Duration m_limitNamedAt = Duration::max();
    MonotonicTime m_start;
    std::multimap<MonotonicTime, std::function<void()>> m_functions;
    std::map<RequestId, Caller> m_waiting;
    std::map<std::string, LoadResult> m_results;
    std::uint64_t m_lastId = 0;
};

} // namespace nutmeghinge::test
