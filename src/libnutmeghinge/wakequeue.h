#pragma once

#include "request.h"

#include <optional>
#include <set>
#include <utility>

namespace nutmeghinge {

/** Waiting requests in the order of the times at which they have to be looked at. */
class WakeQueue
{
public:
    /** Sets the request's time; replaces an earlier one. */
    void schedule(Request &request, MonotonicTime at);
    void cancel(const Request &request);
    /** Takes out the first request whose time has come. */
    std::optional<RequestId> takeDue(MonotonicTime now);

private:
    std::set<std::pair<MonotonicTime, std::uint64_t>> m_times;
};

} // namespace nutmeghinge
