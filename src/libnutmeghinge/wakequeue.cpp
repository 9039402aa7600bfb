#include "wakequeue.h"

namespace nutmeghinge {

void WakeQueue::schedule(Request &request, MonotonicTime at)
{
    cancel(request);
    request.wakeAt = at;
    m_times.emplace(at, request.id.value());
}

void WakeQueue::cancel(const Request &request)
{
    m_times.erase({request.wakeAt, request.id.value()});
}

std::optional<RequestId> WakeQueue::takeDue(MonotonicTime now)
{
    if (m_times.empty() || m_times.begin()->first > now) {
        return std::nullopt;
    }
    const RequestId id(m_times.begin()->second);
    m_times.erase(m_times.begin());
    return id;
}

} // namespace nutmeghinge
