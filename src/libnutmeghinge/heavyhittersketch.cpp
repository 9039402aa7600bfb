#include "heavyhittersketch.h"

#include "loadmeter.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

constexpr std::size_t maximumCounters = 32;
constexpr std::size_t maximumReported = 16;
/** A key is reported if it has at least one request in this many. */
constexpr std::uint64_t minimumShareDivisor = 100;
/** Keys with fewer requests are not reported, even if there are few requests in total. */
constexpr std::uint64_t minimumCount = 3;

} // namespace

void HeavyHitterSketch::count(std::uint64_t keyHash)
{
    ++m_total;
    const auto known = std::find_if(m_counters.begin(), m_counters.end(), [&](const Counter &counter) { return counter.keyHash == keyHash; });
    if (known != m_counters.end()) {
        ++known->count;
        return;
    }
    if (m_counters.size() < maximumCounters) {
        m_counters.push_back({keyHash, 1, 0});
        return;
    }
    const auto least = std::min_element(m_counters.begin(), m_counters.end(), [](const Counter &a, const Counter &b) { return a.count < b.count; });
    *least = {keyHash, least->count + 1, least->count};
}

std::vector<KeyLoad> HeavyHitterSketch::take(Duration elapsed)
{
    std::vector<KeyLoad> reported;
    for (const Counter &counter : m_counters) {
        const std::uint64_t guaranteedCount = counter.count - counter.error;
        if (guaranteedCount >= minimumCount && guaranteedCount * minimumShareDivisor >= m_total) {
            reported.push_back({counter.keyHash, milliRate(guaranteedCount, elapsed)});
        }
    }
    std::sort(reported.begin(), reported.end(), [](const KeyLoad &a, const KeyLoad &b) { return a.milliRequestsPerSecond > b.milliRequestsPerSecond; });
    reported.resize(std::min(reported.size(), maximumReported));
    m_counters.clear();
    m_total = 0;
    return reported;
}

} // namespace nutmeghinge
