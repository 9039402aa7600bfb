#include "targetratelimit.h"

#include "targetstatement.h"

#include <algorithm>
#include <utility>

namespace nutmeghinge {

namespace {

constexpr Duration minimumLinger = std::chrono::seconds(2);
/** Answers expected under the limit that must not name it before it ends. */
constexpr double lingerAnswers = 4;
/** Time for which a limit that has ended still counts for placing. */
constexpr Duration placingLinger = std::chrono::seconds(10);
/** Rate at which a target that takes no requests is tried again, so that the end of its limit is noticed. */
constexpr double trialRate = 0.5;
/** Requests that may be sent at once after a pause: one, and those of this time. */
constexpr double burstSeconds = 0.25;
/** Requests sent within this time before a limit begins count against it. */
constexpr Duration countedBefore = std::chrono::milliseconds(1200);
constexpr Duration sentPartLength = std::chrono::milliseconds(100);
/** Requests that may have been sent before the limit began without delaying further ones: those of this time, and a few. */
constexpr double forgivenSeconds = 3;
constexpr double forgivenRequests = 3;
/** Longest time without requests after a limit has begun. */
constexpr double longestPauseSeconds = 3;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration durationOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

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
    m_endedRate = std::exchange(m_rate, std::nullopt);
    m_endedAt = now;
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
    if (change != Change::None) {
        m_tokens = m_rate ? tokens(now) : 0;
        m_tokensAt = now;
    }
    m_confirmedAt = now;
    m_rate = rate;
    if (change == Change::Named || change == Change::Lowered) {
        beginPacing(now);
    }
    return change;
}

std::optional<RequestRate> TargetRateLimit::placingRate(MonotonicTime now) const
{
    return m_rate || now >= m_endedAt + placingLinger ? m_rate : m_endedRate;
}

void TargetRateLimit::reset()
{
    *this = TargetRateLimit();
}

Duration TargetRateLimit::lingerTime() const
{
    return std::max(minimumLinger, durationOf(lingerAnswers / pace()));
}

double TargetRateLimit::pace() const
{
    return std::max(m_rate->value(), trialRate);
}

/** Makes up for the requests that were sent faster than the new limit allows. */
void TargetRateLimit::beginPacing(MonotonicTime now)
{
    double earlier = 0;
    for (const SentPart &part : m_sentParts) {
        earlier += part.startedAt + countedBefore > now ? part.requests : 0;
    }
    const double debt = std::clamp(earlier - forgivenSeconds * pace() - forgivenRequests, 0.0, longestPauseSeconds * pace());
    m_tokens = std::min(m_tokens, -debt);
}

double TargetRateLimit::tokens(MonotonicTime now) const
{
    return std::min(m_tokens + secondsOf(now - m_tokensAt) * pace(), 1 + burstSeconds * pace());
}

bool TargetRateLimit::maySend(MonotonicTime now) const
{
    return !m_rate || tokens(now) >= 1;
}

void TargetRateLimit::sent(MonotonicTime now)
{
    if (m_rate) {
        m_tokens = tokens(now) - 1;
        m_tokensAt = now;
    }
    while (!m_sentParts.empty() && m_sentParts.front().startedAt + countedBefore <= now) {
        m_sentParts.pop_front();
    }
    if (m_sentParts.empty() || m_sentParts.back().startedAt + sentPartLength <= now) {
        m_sentParts.push_back({now, 0});
    }
    ++m_sentParts.back().requests;
}

Duration TargetRateLimit::waitBehind(std::size_t requests, MonotonicTime now) const
{
    if (!m_rate) {
        return Duration(0);
    }
    const double missing = static_cast<double>(requests) + 1 - tokens(now);
    return durationOf(std::max(missing, 0.0) / pace());
}

} // namespace nutmeghinge
