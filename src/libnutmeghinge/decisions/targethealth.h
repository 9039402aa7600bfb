#pragma once

#include "events.h"
#include "units.h"

#include <cstdint>

namespace nutmeghinge {

/**
 * Estimates how many requests the target can run at a time. Reports of the
 * target are hints: their weight decreases with their age and with the
 * difference between earlier reports and this node's own observations.
 */
class TargetHealth
{
public:
    /** Sets the time after the last announcement at which the target counts as unhealthy. */
    void setAnnouncementLifetime(Duration lifetime) { m_announcementLifetime = lifetime; }
    /** Applies an announcement; a new incarnation resets what is known of the target's health. Returns whether it is one. */
    bool announced(const TargetAnnounced &announcement, MonotonicTime now);
    /** Applies the result of a probe. inFlight is the number of requests that this node runs on the target. */
    void probed(const TargetProbed &probe, std::uint32_t inFlight, MonotonicTime now);
    /** Records that the target answered an attempt. */
    void answered(MonotonicTime now);
    /** Records that the target refused an attempt because it was full. inFlight includes that attempt. */
    void refusedAsFull(std::uint32_t inFlight);
    /** Records that an attempt failed because of the connection or made no progress. */
    void failed(MonotonicTime now);

    /** Returns whether the target announces itself in time and neither failed attempts nor trusted probes show it as unhealthy. */
    bool isHealthy(MonotonicTime now) const;
    /** Returns how many requests may run at a time; at least 1, so that an unhealthy target is tried again. */
    std::uint32_t limit(MonotonicTime now, Duration slowStart) const;
    /** Returns the number of slots that the target announced, at least 1. */
    std::uint32_t slots() const { return m_slots; }
    /** Returns the target's present incarnation; its name is empty before the first announcement. */
    const TargetInstance &instance() const { return m_instance; }
    /** Returns the endpoint of the target; empty before the first announcement. */
    const Endpoint &endpoint() const { return m_endpoint; }

private:
    double slowStartShare(MonotonicTime now, Duration slowStart) const;
    double discountedExcess(MonotonicTime now) const;

    Duration m_announcementLifetime{std::chrono::seconds(3)};
    Endpoint m_endpoint;
    TargetInstance m_instance;
    std::uint32_t m_slots = 1;
    bool m_announced = false;
    MonotonicTime m_announcedAt;
    MonotonicTime m_startedAt;

    /** Estimate of the number of requests in flight that the target accepts. */
    double m_learnedLimit = 1;
    std::uint32_t m_failuresInRow = 0;
    MonotonicTime m_failedAt;

    bool m_probedUnhealthy = false;
    /** Weight of the health that the target reports, 0 to 1. */
    double m_healthTrust = 1;
    /** Weight of the load that the target reports, 0 to 1. */
    double m_loadTrust = 1;
    /** Number of requests that the target reports in addition to those of this node. */
    double m_reportedExcess = 0;
    MonotonicTime m_probedAt;
};

} // namespace nutmeghinge
