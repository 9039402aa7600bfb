#include "stopschedule.h"

#include "request.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

/** The last seventh of the limit is reserved for the node's answers to its callers. */
constexpr int ownAnswersDivisor = 7;
/** The target's answer has this part of the limit to arrive before the node answers in its place. */
constexpr int answerDivisor = 20;
/** Time without a request of a caller after which a stopping node no longer expects one. */
constexpr Duration callerSilence = std::chrono::seconds(1);
/** The last twentieth of the limit is reserved for the end of the process. */
constexpr int exitDivisor = 20;

} // namespace

void StopSchedule::stopRequested(MonotonicTime at)
{
    if (!m_requestedAt) {
        m_requestedAt = at;
    }
}

void StopSchedule::memberStops(MemberSlot member, MonotonicTime requestsEnd, MonotonicTime now)
{
    // Later, another node may have the slot.
    std::erase_if(m_members, [&](const auto &entry) { return entry.second < now; });
    m_members.try_emplace(member, requestsEnd);
}

bool StopSchedule::mayBegin(const Request &request, MonotonicTime now) const
{
    // Not what is left of the objective: a caller that has returned after a refusal has used some of it, or all.
    const MonotonicTime expectedEnd = request.objective > Duration::zero() ? now + request.objective : request.deadline;
    const MonotonicTime end = stopEnd(request);
    return now < end && std::min(request.deadline, expectedEnd) <= end;
}

bool StopSchedule::mayPassOn(const Request &request) const
{
    return request.hops == 0 || request.deadline <= peerRequestsEnd();
}

MonotonicTime StopSchedule::workEnd(const Request &request, MonotonicTime now) const
{
    return m_limit > Duration::zero() ? std::min(stopEnd(request), now + longestWork(m_limit) - m_lag) : stopEnd(request);
}

Duration StopSchedule::longestWork(Duration limit)
{
    return limit > Duration::zero() ? limit - limit / ownAnswersDivisor - limit / answerDivisor : Duration::max();
}

MonotonicTime StopSchedule::stopEnd(const Request &request) const
{
    const MonotonicTime end = request.hops == 0 ? ownRequestsEnd() : std::min({peerRequestsEnd(), request.entryEndsAt, requestsEndOf(request.entry)});
    return end == MonotonicTime::max() ? end : end - m_limit / answerDivisor - m_lag;
}

bool StopSchedule::mayCloseToCallers(MonotonicTime now, MonotonicTime lastArrival) const
{
    const bool unlimited = ownRequestsEnd() == MonotonicTime::max();
    return unlimited || now - lastArrival >= callerSilence || now >= ownRequestsEnd();
}

MonotonicTime StopSchedule::ownRequestsEnd() const
{
    return m_requestedAt && m_limit > Duration::zero() ? *m_requestedAt + m_limit - m_limit / ownAnswersDivisor : MonotonicTime::max();
}

MonotonicTime StopSchedule::requestsEndOf(MemberSlot member) const
{
    const auto found = m_members.find(member);
    return found == m_members.end() ? MonotonicTime::max() : found->second;
}

MonotonicTime StopSchedule::statedRequestsEnd() const
{
    const MonotonicTime end = ownRequestsEnd();
    return end == MonotonicTime::max() ? end : end - m_lag;
}

MonotonicTime StopSchedule::peerRequestsEnd() const
{
    return m_requestedAt && m_limit > Duration::zero() ? *m_requestedAt + m_limit - m_limit / exitDivisor : MonotonicTime::max();
}

} // namespace nutmeghinge
