#pragma once

#include "ids.h"
#include "rankedqueue.h"
#include "returnschedule.h"
#include "targethealth.h"
#include "targetpace.h"
#include "targetratelimit.h"
#include "units.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace nutmeghinge {

struct Document;
struct Request;

/**
 * Slots of the target beside this node, the limit that it names, and the queue for
 * both. Counts running requests and estimates how long a new request has to wait.
 */
class TargetAdmission
{
public:
    TargetHealth &health() { return m_health; }
    const TargetHealth &health() const { return m_health; }
    TargetRateLimit &rateLimit() { return m_rateLimit; }
    const TargetRateLimit &rateLimit() const { return m_rateLimit; }
    RankedQueue &queue() { return m_queue; }
    const RankedQueue &queue() const { return m_queue; }

    /** Applies an announcement of the target. */
    void announced(const TargetAnnounced &announcement, MonotonicTime now);
    /** Returns whether a slot is free and the target's limit allows a request at this time. */
    bool maySend(const Document &document, MonotonicTime now) const;
    /** Returns whether a probe may be sent, and counts it if so. Under a limit, queued requests go first: their answers tell more than a probe. */
    bool takeProbe(MonotonicTime now);
    /** Returns the number of slots that requests may keep busy: those of the target, or fewer if it names a limit. At least 1. */
    std::uint32_t usableSlots(MonotonicTime now) const;
    /** Returns the expected time until a request queued at this rank is sent to the target. */
    Duration expectedWait(const QueueRank &rank, const Document &document, MonotonicTime now) const;
    /** Returns the expected time until the present queue is empty and a further request may be sent, after which a refused caller may retry. */
    Duration retryAfter(const Document &document, MonotonicTime now) const;
    /** Returns the delay after which a caller whose request is refused finally should come back, and keeps that time free for it. */
    Duration takeReturnTime(const Request &request, const Document &document, MonotonicTime now);
    /** Returns the moving average of the target's time per request of this work class; that of all requests if the class is new. */
    Duration serviceTime(std::uint32_t workClass) const;
    const TargetPace &pace() const { return m_pace; }
    /**
     * Returns whether requests of this class take less than half of the time of the target's longest class. Serving them first delays
     * the others little; a target that waits for a short call of its own holds a slot for the whole time.
     */
    bool isShort(std::uint32_t workClass) const;

    /** Returns the numbers that decide about a request that arrives now, for logs: requests running and waiting, limit and expected wait. */
    std::string describe(const Document &document, MonotonicTime now) const;

    /** Takes a slot for a request that is sent to the target. */
    void started(const Request &request, MonotonicTime now);
    /** Records that the answer to the attempt has begun; called once per attempt. */
    void answering(const Request &request);
    /** Frees the slot of an attempt that has ended. */
    void ended(const Request &request);
    /** Records that the target answered an attempt completely, and updates the averages. */
    void answered(const Request &request, MonotonicTime now);

    /** Returns the number of requests that run on the target. */
    std::uint32_t inFlight() const { return m_inFlight; }
    /** Returns the number of attempts on the shard that must end before a handover. */
    std::uint32_t blocking(ShardIndex shard) const;

private:
    TargetHealth m_health;
    TargetRateLimit m_rateLimit;
    RankedQueue m_queue;
    ReturnSchedule m_returnSchedule;
    std::uint32_t m_inFlight = 0;
    /** Number of attempts that block a handover, by shard. */
    std::vector<std::uint32_t> m_blocking;
    TargetPace m_pace;
    /** Moving average of the target's time per request of any class. */
    Duration m_serviceTime{0};
    struct ClassTime {
        Duration average{0};
        std::uint32_t samples = 0;
    };

    /** Times by work class. */
    std::map<std::uint32_t, ClassTime> m_classTimes;
};

} // namespace nutmeghinge
