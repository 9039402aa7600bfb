#include "retrybudget.h"

namespace nutmeghinge {

namespace {

constexpr int partsPerWindow = 10;

} // namespace

void RetryBudget::recordRequest(const ServiceName &service, MonotonicTime now)
{
    ++currentPart(service, now).requests;
}

bool RetryBudget::spend(const ServiceName &service, MonotonicTime now)
{
    Part &current = currentPart(service, now);
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
    for (const Part &part : m_parts[service]) {
        // A part that only ends within the window counts with its retries but not with its requests, so that no span exceeds the limit.
        requests += now - part.startedAt < m_limits.window ? part.requests : 0;
        retries += part.retries;
    }
    if (retries + 1 > m_limits.ratio * requests + m_limits.reserve) {
        return false;
    }
    ++current.retries;
    return true;
}

/** Returns the part of the window that contains this time, and drops those that have left the window. */
RetryBudget::Part &RetryBudget::currentPart(const ServiceName &service, MonotonicTime now)
{
    std::deque<Part> &parts = m_parts[service];
    const Duration partLength = m_limits.window / partsPerWindow;
    if (parts.empty() || now - parts.back().startedAt >= partLength) {
        parts.push_back({now, 0, 0});
    }
    while (now - parts.front().startedAt >= m_limits.window + partLength) {
        parts.pop_front();
    }
    return parts.back();
}

} // namespace nutmeghinge
