#pragma once

#include "events.h"
#include "units.h"

#include <cstdint>

namespace nutmeghinge {

/**
 * Estimates how many requests the target can run now. What the target reports
 * is a hint: it loses weight with its age and with the distance between earlier
 * hints and what this node saw itself.
 */
class TargetHealth
{
public:
    /** Time after which a target that has not announced itself again counts as unhealthy. */
    void setAnnouncementLifetime(Duration lifetime) { m_announcementLifetime = lifetime; }
    void announced(const TargetAnnounced &announcement, MonotonicTime now);
    /** inFlight: requests that this node runs on the target. */
    void probed(const TargetProbed &probe, std::uint32_t inFlight, MonotonicTime now);
    /** An attempt was answered. */
    void answered(MonotonicTime now);
    /** The target refused an attempt as one too many; inFlight counts that attempt. */
    void refusedAsFull(std::uint32_t inFlight);
    /** An attempt failed by the connection or for lack of progress. */
    void failed(MonotonicTime now);

    bool isHealthy(MonotonicTime now) const;
    /** Requests that may run at one time; at least 1, which tries out an unhealthy target. */
    std::uint32_t limit(MonotonicTime now, Duration slowStart) const;
    std::uint32_t slots() const { return m_slots; }
    /** Name of the target; empty before the first announcement. */
    const TargetName &target() const { return m_target; }
    /** Empty before the first announcement. */
    const Endpoint &endpoint() const { return m_endpoint; }

private:
    double warmShare(MonotonicTime now, Duration slowStart) const;
    double hintedExcess(MonotonicTime now) const;

    Duration m_announcementLifetime{std::chrono::seconds(3)};
    Endpoint m_endpoint;
    TargetName m_target;
    std::uint32_t m_slots = 1;
    std::uint64_t m_incarnation = 0;
    bool m_announced = false;
    MonotonicTime m_announcedAt;
    MonotonicTime m_coldSince;

    /** Highest number in flight that the target took lately. */
    double m_learnedLimit = 1;
    std::uint32_t m_failuresInRow = 0;
    MonotonicTime m_failedAt;

    bool m_probedUnhealthy = false;
    /** Weight of the target's statements on its health, and on its load; 0 to 1. */
    double m_healthTrust = 1;
    double m_loadTrust = 1;
    /** Requests that the target reports beside those of this node. */
    double m_reportedExcess = 0;
    MonotonicTime m_probedAt;
};

} // namespace nutmeghinge
