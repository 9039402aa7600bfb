#include "loadreport.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

namespace nutmeghinge {

namespace {

namespace acc = boost::accumulators;

constexpr std::array quantiles = {0.5, 0.9, 0.99, 0.999};
constexpr double microsecondsPerMillisecond = 1000;
constexpr double microsecondsPerSecond = 1000000;

double millisecondsOf(Duration duration)
{
    return static_cast<double>(duration.count()) / microsecondsPerMillisecond;
}

std::string quantileName(double quantile)
{
    std::ostringstream name;
    name << 'p' << quantile * 100;
    return name.str();
}

} // namespace

LoadReport::LoadReport(std::size_t expectedRequests)
    : m_latencies(acc::right_tail_cache_size = expectedRequests + 1)
{
}

void LoadReport::attemptEnded(const std::string &key, LoadOutcome outcome, MonotonicTime sentAt, MonotonicTime now)
{
    KeyAvailability &availability = m_keys[key];
    if (outcome != LoadOutcome::Answered) {
        availability.failingSince = std::min(availability.failingSince.value_or(sentAt), sentAt);
        return;
    }
    // The answer to an attempt sent before the first failure does not show that the key is available again.
    if (availability.failingSince && sentAt >= *availability.failingSince) {
        availability.longest = std::max(availability.longest, now - *availability.failingSince);
        availability.failingSince.reset();
    }
}

void LoadReport::requestEnded(const LoadRequest &request, LoadOutcome outcome, const std::string &target, MonotonicTime now)
{
    ++m_outcomes[outcome];
    if (outcome == LoadOutcome::Answered) {
        m_latencies(millisecondsOf(now - request.due));
        if (!target.empty()) {
            ++m_answersByTarget[target];
        }
    }
    if (outcome == LoadOutcome::NotRun && request.kind == LoadRequest::Kind::Order) {
        m_refusedOrders[request.order] = true;
    }
}

void LoadReport::finish(MonotonicTime start, MonotonicTime end)
{
    m_duration = end - start;
    for (auto &[key, availability] : m_keys) {
        if (availability.failingSince) {
            availability.longest = std::max(availability.longest, end - *availability.failingSince);
        }
    }
}

void LoadReport::compareExecutions(const std::map<std::string, std::uint64_t> &executions, std::size_t unreadTargets)
{
    m_unreadTargets = unreadTargets;
    for (const auto &[order, count] : executions) {
        m_duplicates += count > 1 ? 1 : 0;
        m_falseRefusals += m_refusedOrders.contains(order) ? 1 : 0;
    }
}

std::uint64_t LoadReport::count(LoadOutcome outcome) const
{
    const auto found = m_outcomes.find(outcome);
    return found == m_outcomes.end() ? 0 : found->second;
}

Duration LoadReport::longestUnavailable() const
{
    Duration longest{0};
    for (const auto &[key, availability] : m_keys) {
        longest = std::max(longest, availability.longest);
    }
    return longest;
}

bool LoadReport::isClean() const
{
    return m_duplicates == 0 && m_falseRefusals == 0 && count(LoadOutcome::Wrong) == 0 && count(LoadOutcome::Truncated) == 0;
}

double LoadReport::latency(double quantile) const
{
    return acc::count(m_latencies) == 0 ? 0 : acc::quantile(m_latencies, acc::quantile_probability = quantile);
}

double LoadReport::maxLatency() const
{
    return acc::count(m_latencies) == 0 ? 0 : acc::max(m_latencies);
}

double LoadReport::imbalance() const
{
    std::uint64_t sum = 0;
    std::uint64_t peak = 0;
    for (const auto &[target, answers] : m_answersByTarget) {
        sum += answers;
        peak = std::max(peak, answers);
    }
    return sum == 0 ? 0 : static_cast<double>(peak * m_answersByTarget.size()) / static_cast<double>(sum);
}

nlohmann::json LoadReport::toJson() const
{
    nlohmann::json latencies = {{"max", maxLatency()}};
    for (const double quantile : quantiles) {
        latencies[quantileName(quantile)] = latency(quantile);
    }
    const double seconds = static_cast<double>(m_duration.count()) / microsecondsPerSecond;
    return {{"seconds", seconds},
            {"answersPerSecond", seconds == 0 ? 0 : static_cast<double>(count(LoadOutcome::Answered)) / seconds},
            {"latencyMs", std::move(latencies)},
            {"answered", count(LoadOutcome::Answered)},
            {"notRun", count(LoadOutcome::NotRun)},
            {"unknown", count(LoadOutcome::Unknown)},
            {"wrong", count(LoadOutcome::Wrong)},
            {"truncated", count(LoadOutcome::Truncated)},
            {"retries", m_retries},
            {"answersByTarget", m_answersByTarget},
            {"imbalance", imbalance()},
            {"longestUnavailableMs", millisecondsOf(longestUnavailable())},
            {"duplicates", m_duplicates},
            {"falseRefusals", m_falseRefusals},
            {"unreadTargets", m_unreadTargets},
            {"clean", isClean()}};
}

std::string LoadReport::toText() const
{
    std::ostringstream text;
    const nlohmann::json json = toJson();
    text << std::fixed << std::setprecision(1);
    text << "answers per second:   " << json["answersPerSecond"].get<double>() << " over " << json["seconds"].get<double>() << " s\n";
    text << "latency ms:          ";
    for (const double quantile : quantiles) {
        text << ' ' << quantileName(quantile) << ' ' << latency(quantile);
    }
    text << " max " << maxLatency() << '\n';
    text << "outcomes:             answered " << count(LoadOutcome::Answered) << ", not run " << count(LoadOutcome::NotRun) << ", unknown "
         << count(LoadOutcome::Unknown) << ", retries " << m_retries << '\n';
    text << "imbalance:            " << std::setprecision(2) << imbalance() << std::setprecision(1) << " (peak over mean of " << m_answersByTarget.size()
         << " targets)\n";
    text << "longest unavailable:  " << millisecondsOf(longestUnavailable()) << " ms for a key\n";
    text << "duplicates:           " << m_duplicates << ", false refusals " << m_falseRefusals << ", targets not read " << m_unreadTargets << '\n';
    text << "wrong answers:        " << count(LoadOutcome::Wrong) << ", truncated " << count(LoadOutcome::Truncated) << '\n';
    return text.str();
}

} // namespace nutmeghinge
