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
    /** expectedRequests bounds the latencies that are kept. */
    explicit LoadReport(std::size_t expectedRequests);

    /** One attempt has ended; feeds the unavailable time of its key. */
    void attemptEnded(const std::string &key, LoadOutcome outcome, MonotonicTime sentAt, MonotonicTime now);
    /** The request has ended for good. target is empty where the answer names none. */
    void requestEnded(const LoadRequest &request, LoadOutcome outcome, const std::string &target, MonotonicTime now);
    void countRetry() { ++m_retries; }
    /** No more requests follow. */
    void finish(MonotonicTime start, MonotonicTime end);
    /** Compares with what the targets say that they ran. */
    void compareExecutions(const std::map<std::string, std::uint64_t> &executions, std::size_t unreadTargets);

    std::uint64_t count(LoadOutcome outcome) const;
    std::uint64_t duplicates() const { return m_duplicates; }
    /** Orders refused as not run that a target ran. */
    std::uint64_t falseRefusals() const { return m_falseRefusals; }
    /** Longest time for which a key had no answered attempt. */
    Duration longestUnavailable() const;
    /** No duplicate, no false refusal, no wrong or truncated answer. */
    bool isClean() const;

    nlohmann::json toJson() const;
    std::string toText() const;

private:
    struct KeyAvailability {
        /** When the first failed attempt since the last answered one was sent. */
        std::optional<MonotonicTime> failingSince;
        Duration longest{0};
    };
    using Latencies = boost::accumulators::accumulator_set<double,
                                                           boost::accumulators::stats<boost::accumulators::tag::count,
                                                                                      boost::accumulators::tag::max,
                                                                                      boost::accumulators::tag::tail_quantile<boost::accumulators::right>>>;

    /** Milliseconds; 0 without answers. */
    double latency(double quantile) const;
    double maxLatency() const;
    double imbalance() const;

    Latencies m_latencies;
    std::map<LoadOutcome, std::uint64_t> m_outcomes;
    std::map<std::string, std::uint64_t> m_answersByTarget;
    std::map<std::string, KeyAvailability> m_keys;
    /** Orders that were finally refused as not run. */
    std::map<std::string, bool> m_refusedOrders;
    std::uint64_t m_retries = 0;
    std::uint64_t m_duplicates = 0;
    std::uint64_t m_falseRefusals = 0;
    std::size_t m_unreadTargets = 0;
    Duration m_time{0};
};

} // namespace nutmeghinge
