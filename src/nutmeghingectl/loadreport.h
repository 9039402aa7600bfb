#pragma once

#include "loadrequest.h"
#include "units.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace nutmeghinge {

/** Statistics of one run of the load generator. */
class LoadReport
{
public:
    /** expectedRequests limits the number of latencies that are kept. */
    explicit LoadReport(std::size_t expectedRequests);

    /** Records the end of one attempt, for the unavailable time of its key. */
    void attemptEnded(const std::string &key, LoadOutcome outcome, MonotonicTime sentAt, MonotonicTime now);
    /** Records the final outcome of a request. target is empty if the answer names none. */
    void requestEnded(const LoadRequest &request, LoadOutcome outcome, const std::string &target, MonotonicTime now);
    void countRetry() { ++m_retries; }
    /** Ends the run; called after the last request. */
    void finish(MonotonicTime start, MonotonicTime end);
    /** Compares the outcomes with the executions of each order that the targets report. */
    void compareExecutions(const std::map<std::string, std::uint64_t> &executions, std::size_t unreadTargets);

    std::uint64_t count(LoadOutcome outcome) const;
    /** Orders that were executed more than once. */
    std::uint64_t duplicates() const { return m_duplicates; }
    /** Orders that were refused as not run although a target ran them. */
    std::uint64_t falseRefusals() const { return m_falseRefusals; }
    /** Longest time during which all attempts for a key failed. */
    Duration longestUnavailable() const;
    /** Returns whether there was no duplicate, no false refusal and no wrong or truncated answer. */
    bool isClean() const;

    nlohmann::json toJson() const;
    std::string toText() const;

private:
    struct KeyAvailability {
        /** Time at which the first failed attempt since the last answered one was sent. */
        std::optional<MonotonicTime> failingSince;
        Duration longest{0};
    };
    using Latencies = boost::accumulators::accumulator_set<double,
                                                           boost::accumulators::stats<boost::accumulators::tag::count,
                                                                                      boost::accumulators::tag::max,
                                                                                      boost::accumulators::tag::tail_quantile<boost::accumulators::right>>>;

    /** Latency at the quantile, in milliseconds; 0 without answers. */
    double latency(double quantile) const;
    /** Maximum latency in milliseconds; 0 without answers. */
    double maxLatency() const;
    /** Maximum of the answers per target, divided by their mean; 0 without answers. */
    double imbalance() const;

    Latencies m_latencies;
    std::map<LoadOutcome, std::uint64_t> m_outcomes;
    std::map<std::string, std::uint64_t> m_answersByTarget;
    std::map<std::string, KeyAvailability> m_keys;
    /** Orders whose last attempt was refused as not run. */
    std::map<std::string, bool> m_refusedOrders;
    std::uint64_t m_retries = 0;
    std::uint64_t m_duplicates = 0;
    std::uint64_t m_falseRefusals = 0;
    /** Number of targets whose executions could not be read. */
    std::size_t m_unreadTargets = 0;
    /** Time from the start of the run to its end. */
    Duration m_duration{0};
};

} // namespace nutmeghinge
