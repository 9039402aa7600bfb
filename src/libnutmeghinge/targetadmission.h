#pragma once

#include "ids.h"
#include "rankedqueue.h"
#include "targethealth.h"
#include "units.h"

#include <cstdint>
#include <map>
#include <vector>

namespace nutmeghinge {

struct Document;
struct Request;

/**
 * Slots of the target beside this node and the queue for them: what runs, what
 * waits, and how long a request that comes now would wait.
 */
class TargetAdmission
{
public:
    TargetHealth &health() { return m_health; }
    const TargetHealth &health() const { return m_health; }
    RankedQueue &queue() { return m_queue; }
    const RankedQueue &queue() const { return m_queue; }

    /** A slot is free at this time. */
    bool hasFreeSlot(const Document &document, MonotonicTime now) const;
    /** Expected time until a request that joins the queue at this rank is sent. */
    Duration expectedWait(const QueueRank &rank, const Document &document, MonotonicTime now) const;
    /** Time after which a refused caller finds the present queue drained. */
    Duration retryAfter(const Document &document, MonotonicTime now) const;
    /** Time that the target takes for a request of this work class, as seen lately; that of all where the class is new. */
    Duration serviceTime(std::uint32_t workClass) const;
    /** The same for requests of all classes. */
    Duration serviceTime() const { return m_serviceTime; }

    /** The request is sent to the target. */
    void started(const Request &request);
    /** The answer of the request's attempt has begun; called once an attempt. */
    void answering(const Request &request);
    /** The attempt has ended: its slot is free. */
    void ended(const Request &request);
    /** The target answered an attempt whole. */
    void answered(const Request &request, MonotonicTime now);

    std::uint32_t inFlight() const { return m_inFlight; }
    /** Attempts on the shard that must end before a handover. */
    std::uint32_t blocking(ShardIndex shard) const;

private:
    TargetHealth m_health;
    RankedQueue m_queue;
    std::uint32_t m_inFlight = 0;
    /** By shard. */
    std::vector<std::uint32_t> m_blocking;
    Duration m_serviceTime{0};
    std::map<std::uint32_t, Duration> m_classTimes;
};

} // namespace nutmeghinge
