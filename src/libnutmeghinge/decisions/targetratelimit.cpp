#include "targetratelimit.h"

#include "targetstatement.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

constexpr Duration minimumLinger = std::chrono::seconds(2);
/** Answers expected under the limit that must not name it before it ends. */
constexpr double lingerAnswers = 4;
/** Rate at which a target that takes no requests is tried again, so that the end of its limit is noticed. */
constexpr double trialRate = 0.5;

} // namespace

TargetRateLimit::Change TargetRateLimit::stated(const TargetStatement &statement, MonotonicTime now)
{
    m_heardTarget = true;
    if (statement.limit) {
        return named(*statement.limit, now);
    }
    if (!m_rate || !statement.problem.empty() || now - m_namedAt < lingerTime()) {
        return Change::None;
    }
    m_rate.reset();
    return Change::Ended;
}

TargetRateLimit::Change TargetRateLimit::relayed(RequestRate rate, MonotonicTime now)
{
    return m_heardTarget ? Change::None : named(rate, now);
}

TargetRateLimit::Change TargetRateLimit::named(RequestRate rate, MonotonicTime now)
{
    m_namedAt = now;
    if (m_rate && rate > *m_rate && now - m_confirmedAt < lingerTime()) {
        return Change::None;
    }
    const Change change = !m_rate ? Change::Named : rate < *m_rate ? Change::Lowered : rate > *m_rate ? Change::Raised : Change::None;
    m_confirmedAt = now;
    m_rate = rate;
    return change;
}

void TargetRateLimit::reset()
{
    *this = TargetRateLimit();
}

Duration TargetRateLimit::lingerTime() const
{
    const double seconds = lingerAnswers / std::max(m_rate->value(), trialRate);
    return std::max(minimumLinger, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
}

} // namespace nutmeghinge
