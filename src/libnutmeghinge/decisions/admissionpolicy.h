#pragma once

#include "queuerank.h"
#include "units.h"

#include <optional>

namespace nutmeghinge {

class TargetAdmission;
struct Document;
struct Request;

/**
 * Decides whether a request may wait for a slot of the target, in which place of
 * the queue and until when; otherwise it is refused at once. Answers a load above
 * the target's capacity: slots go to requests that can be answered within their
 * objective, and nobody waits for an answer that will not come. Reads the slots,
 * the queue and the service times of the TargetAdmission, which must outlive it.
 */
class AdmissionPolicy
{
public:
    /** Place in the queue. */
    struct Place {
        QueueRank rank;
        /** Time at which the request is refused, or placed anew as late, if it has not been sent. */
        MonotonicTime waitsUntil;
    };

    explicit AdmissionPolicy(const TargetAdmission &admission)
        : m_admission(admission)
    {
    }

    /** Sets how late the node has handled events lately; the target's answer may wait so long. */
    void setLag(Duration lag) { m_lag = lag; }

    /** Returns the place of a request that has just arrived; nothing if it is refused. */
    std::optional<Place> place(const Request &request, const Document &document, MonotonicTime now) const;
    /** Returns the place of a request that can no longer meet its objective; nothing if it is refused. */
    std::optional<Place> placeAsLate(const Request &request, const Document &document, MonotonicTime now) const;
    /** Returns the latest time at which the request may be sent from the queue to the target. */
    MonotonicTime latestSendTime(const Request &request) const;
    /**
     * Returns the time until which the request may wait for an owner of its shard. A routed request waits only while its
     * objective can be met; after that it is refused with a time to retry.
     */
    MonotonicTime ownerWaitLimit(const Request &request) const;

private:
    std::optional<Place> placeInTime(const Request &request, const Document &document, MonotonicTime now) const;
    bool becomesLate(const Request &request) const;

    const TargetAdmission &m_admission;
    Duration m_lag{0};
};

} // namespace nutmeghinge
