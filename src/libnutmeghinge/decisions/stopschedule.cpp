#include "stopschedule.h"

#include "request.h"

namespace nutmeghinge {

namespace {

/** The last seventh of the limit is reserved for the node's answers to its callers. */
constexpr int ownAnswersDivisor = 7;
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

bool StopSchedule::mayBegin(const Request &request) const
{
    if (request.hops == 0) {
        return request.deadline <= ownRequestsEnd();
    }
    const auto entry = m_members.find(request.entry);
    return request.deadline <= peerRequestsEnd() && (entry == m_members.end() || request.deadline <= entry->second);
}

MonotonicTime StopSchedule::ownRequestsEnd() const
{
    return m_requestedAt && m_limit > Duration::zero() ? *m_requestedAt + m_limit - m_limit / ownAnswersDivisor : MonotonicTime::max();
}

MonotonicTime StopSchedule::peerRequestsEnd() const
{
    return m_requestedAt && m_limit > Duration::zero() ? *m_requestedAt + m_limit - m_limit / exitDivisor : MonotonicTime::max();
}

} // namespace nutmeghinge
