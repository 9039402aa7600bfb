#pragma once

#include "request.h"

#include <unordered_map>
#include <vector>

namespace nutmeghinge {

/** All requests that have not ended, found by their id or by that of their running attempt. */
class RequestTable
{
public:
    /** The reference holds until the request is erased. */
    Request &insert(Request &&request);
    /** Null if there is none. */
    Request *find(RequestId id);
    Request *findByAttempt(AttemptId attempt);
    /** Gives the request a new attempt. */
    AttemptId beginAttempt(Request &request);
    /** The request's attempt has ended. */
    void endAttempt(Request &request);
    void erase(RequestId id);

    std::size_t size() const { return m_requests.size(); }
    std::vector<RequestId> ids() const;

    /** Calls the function with each request that has a running attempt. */
    template <typename Function>
    void forEachRunning(Function function)
    {
        for (const auto &[attempt, request] : m_attempts) {
            function(*request);
        }
    }

private:
    std::unordered_map<RequestId, Request> m_requests;
    std::unordered_map<AttemptId, Request *> m_attempts;
    std::uint64_t m_lastAttempt = 0;
};

} // namespace nutmeghinge
