#pragma once

#include "request.h"

#include <optional>
#include <set>
#include <utility>

namespace nutmeghinge {

/** Queue of waiting requests, ordered by the time at which they must be processed again. */
class WakeQueue
{
public:
    /** Schedules a request, replacing its previous time. */
    void schedule(Request &request, MonotonicTime at);
    /** Removes a request from the queue, if it is scheduled. */
    void cancel(const Request &request);
    /** Removes and returns the first request whose time has been reached, if any. */
    std::optional<RequestId> takeDue(MonotonicTime now);

private:
    std::set<std::pair<MonotonicTime, std::uint64_t>> m_times;
};

} // namespace nutmeghinge
