#pragma once

#include "request.h"

#include <unordered_map>
#include <vector>

namespace nutmeghinge {

/** All requests that have not ended, indexed by request id and by the id of the running attempt. */
class RequestTable
{
public:
    /** Adds a request. The reference stays valid until the request is erased. */
    Request &insert(Request &&request);
    /** Returns null if there is no such request. */
    Request *find(RequestId id);
    /** Returns the request with this running attempt, or null if there is none. */
    Request *findByAttempt(AttemptId attempt);
    /** Assigns a new attempt id to the request and returns it. */
    AttemptId beginAttempt(Request &request);
    /** Counts the request's running attempt as ended and removes it from the index. */
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
