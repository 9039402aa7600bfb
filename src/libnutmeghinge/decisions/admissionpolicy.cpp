#include "admissionpolicy.h"

#include "request.h"
#include "targetadmission.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

/** A late request is queued only if, after its expected wait, the time left until it must be sent is at least that wait times this factor. */
constexpr int lateSlackFactor = 3;
/** Maximum time of a routed request in a queue, so that the node of its caller can still answer it if it is told to stop meanwhile. */
constexpr Duration maximumQueueTime = std::chrono::seconds(4);

bool hasObjective(const Request &request)
{
    return request.objectiveAt != MonotonicTime::max();
}

} // namespace

std::optional<AdmissionPolicy::Place> AdmissionPolicy::place(const Request &request, const Document &document, MonotonicTime now) const
{
    const std::optional<Place> inTime = placeInTime(request, document, now);
    return inTime ? inTime : placeAsLate(request, document, now);
}

std::optional<AdmissionPolicy::Place> AdmissionPolicy::placeInTime(const Request &request, const Document &document, MonotonicTime now) const
{
    const QueueRank rank{false, request.priority, request.objectiveAt, request.id.value()};
    const MonotonicTime sentAt = now + m_admission.expectedWait(rank, document, now);
    const MonotonicTime latest = latestSendTime(request);
    if (!becomesLate(request)) {
        return sentAt <= latest ? std::optional(Place{rank, latest}) : std::nullopt;
    }
    const MonotonicTime latestInTime = std::min(latest, request.objectiveAt - m_admission.serviceTime(request.workClass) - m_lag);
    return sentAt <= latestInTime ? std::optional(Place{rank, latestInTime}) : std::nullopt;
}

std::optional<AdmissionPolicy::Place> AdmissionPolicy::placeAsLate(const Request &request, const Document &document, MonotonicTime now) const
{
    if (!hasObjective(request)) {
        return std::nullopt;
    }
    const QueueRank rank{true, request.priority, request.deadline, request.id.value()};
    const Duration wait = m_admission.expectedWait(rank, document, now);
    const MonotonicTime latest = latestSendTime(request);
    if (now + wait + lateSlackFactor * wait > latest) {
        return std::nullopt;
    }
    // Requests that arrive later are served before it. A wait of twice the estimate shows that they leave it no slot.
    return Place{rank, std::min(latest, now + 2 * wait)};
}

/** Returns whether the request moves behind those in time once it can no longer meet its objective. Short ones keep their place. */
bool AdmissionPolicy::becomesLate(const Request &request) const
{
    return hasObjective(request) && !m_admission.isShort(request.workClass);
}

MonotonicTime AdmissionPolicy::latestSendTime(const Request &request) const
{
    const MonotonicTime latestBeforeDeadline = request.sendDeadline() - m_admission.serviceTime(request.workClass) - m_lag;
    return request.routed ? std::min(latestBeforeDeadline, request.arrivedAt + maximumQueueTime) : latestBeforeDeadline;
}

MonotonicTime AdmissionPolicy::ownerWaitLimit(const Request &request) const
{
    const MonotonicTime latest = latestSendTime(request);
    if (!request.routed || !hasObjective(request)) {
        return latest;
    }
    return std::min(latest, request.objectiveAt - m_admission.serviceTime(request.workClass));
}

} // namespace nutmeghinge
