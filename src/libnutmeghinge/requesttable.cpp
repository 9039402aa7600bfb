#include "requesttable.h"

#include <cassert>

namespace nutmeghinge {

Request &RequestTable::insert(Request &&request)
{
    const RequestId id = request.id;
    const auto [position, inserted] = m_requests.try_emplace(id, std::move(request));
    assert(inserted);
    return position->second;
}

Request *RequestTable::find(RequestId id)
{
    const auto position = m_requests.find(id);
    return position == m_requests.end() ? nullptr : &position->second;
}

Request *RequestTable::findByAttempt(AttemptId attempt)
{
    const auto position = m_attempts.find(attempt);
    return position == m_attempts.end() ? nullptr : position->second;
}

AttemptId RequestTable::beginAttempt(Request &request)
{
    request.attempt = AttemptId(++m_lastAttempt);
    m_attempts.emplace(request.attempt, &request);
    return request.attempt;
}

void RequestTable::endAttempt(Request &request)
{
    m_attempts.erase(request.attempt);
    ++request.attempts;
}

void RequestTable::erase(RequestId id)
{
    m_requests.erase(id);
}

std::vector<RequestId> RequestTable::ids() const
{
    std::vector<RequestId> ids;
    ids.reserve(m_requests.size());
    for (const auto &[id, request] : m_requests) {
        ids.push_back(id);
    }
    return ids;
}

} // namespace nutmeghinge
