#include "returningcallers.h"

#include "request.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

/** Maximum difference between the times at which two attempts of one caller say that it stops waiting; covers network delay and rounding. */
constexpr Duration matchTolerance = std::chrono::milliseconds(50);
/** Maximum number of refused callers remembered; the oldest are forgotten first. */
constexpr std::size_t maximumRefused = 8192;

} // namespace

void ReturningCallers::remember(const Request &request, MonotonicTime now)
{
    if (!request.callerWaitsUntil || request.objectiveAt == MonotonicTime::max()) {
        return;
    }
    m_refused.emplace(request.fingerprint, Refused{*request.callerWaitsUntil, request.objectiveAt});
    m_order.emplace_back(*request.callerWaitsUntil, request.fingerprint);
    expire(now);
}

std::optional<MonotonicTime> ReturningCallers::takeObjective(const Request &request, MonotonicTime now)
{
    if (!request.callerWaitsUntil || m_refused.empty()) {
        return std::nullopt;
    }
    expire(now);
    const auto [begin, end] = m_refused.equal_range(request.fingerprint);
    const auto distance = [&](const Refused &refused) { return std::chrono::abs(refused.waitsUntil - *request.callerWaitsUntil); };
    const auto nearest = std::min_element(begin, end, [&](const auto &a, const auto &b) { return distance(a.second) < distance(b.second); });
    if (nearest == end || distance(nearest->second) > matchTolerance) {
        return std::nullopt;
    }
    const MonotonicTime objectiveAt = nearest->second.objectiveAt;
    m_refused.erase(nearest);
    return objectiveAt;
}

void ReturningCallers::expire(MonotonicTime now)
{
    while (!m_order.empty() && (m_order.size() > maximumRefused || now > m_order.front().first + matchTolerance)) {
        const std::pair<MonotonicTime, std::uint64_t> oldest = m_order.front();
        m_order.pop_front();
        const auto sameRequest = m_refused.equal_range(oldest.second);
        const auto refused = std::find_if(sameRequest.first, sameRequest.second, [&](const auto &entry) { return entry.second.waitsUntil == oldest.first; });
        if (refused != sameRequest.second) {
            m_refused.erase(refused);
        }
    }
}

} // namespace nutmeghinge
