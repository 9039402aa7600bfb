#include "targethealth.h"

#include <algorithm>
#include <cmath>

namespace nutmeghinge {

namespace {

/** Age at which a probe result no longer counts. */
constexpr Duration probeResultLifetime = std::chrono::seconds(3);
/** Age of the last failed attempt at which the target is tried again. */
constexpr Duration failureLifetime = std::chrono::seconds(1);
/** Number of consecutive failed attempts after which the target counts as unhealthy. */
constexpr std::uint32_t unhealthyFailures = 3;
/** Share of the slots that a target may use right after its start. */
constexpr double initialShare = 0.25;
/** Factor by which a refusal reduces the learned limit. */
constexpr double learnedDecrease = 0.8;
/** Fraction of the difference to its new value by which a trust changes with each observation. */
constexpr double trustGain = 0.25;
/** Minimum trust in the probes at which an unhealthy result counts. */
constexpr double minimumTrust = 0.5;

double ratio(Duration part, Duration whole)
{
    return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

double moveTowards(double value, double goal)
{
    return value + (goal - value) * trustGain;
}

} // namespace

bool TargetHealth::announced(const TargetAnnounced &announcement, MonotonicTime now)
{
    const bool restarted = !m_announced || announcement.targetIncarnation != m_instance.incarnation;
    const bool resized = m_slots != std::max(announcement.slots, 1U);
    m_announced = true;
    m_announcedAt = now;
    m_endpoint = announcement.endpoint;
    m_instance = {announcement.target, announcement.targetIncarnation};
    m_slots = std::max(announcement.slots, 1U);
    if (restarted || resized) {
        m_learnedLimit = m_slots;
    }
    if (restarted) {
        m_startedAt = now;
        m_failuresInRow = 0;
        m_probedUnhealthy = false;
        m_reportedExcess = 0;
    }
    return restarted;
}

void TargetHealth::probed(const TargetProbed &probe, std::uint32_t inFlight, MonotonicTime now)
{
    m_probedAt = now;
    m_probedUnhealthy = !probe.healthy;
    if (probe.healthy && m_failuresInRow == 0) {
        m_healthTrust = moveTowards(m_healthTrust, 1);
    }
    if (!probe.reportedInFlight) {
        m_reportedExcess = 0;
        return;
    }
    const double difference = static_cast<double>(*probe.reportedInFlight) - inFlight;
    m_loadTrust = moveTowards(m_loadTrust, 1 - std::min(std::abs(difference) / m_slots, 1.0));
    m_reportedExcess = std::clamp(difference, 0.0, static_cast<double>(m_slots));
}

void TargetHealth::answered(MonotonicTime)
{
    if (m_probedUnhealthy) {
        // The probe reported the target as unhealthy, but the target has answered a request.
        m_probedUnhealthy = false;
        m_healthTrust /= 2;
    }
    m_failuresInRow = 0;
    m_learnedLimit = std::min(m_learnedLimit + 1 / m_learnedLimit, static_cast<double>(m_slots));
}

void TargetHealth::refusedAsFull(std::uint32_t inFlight)
{
    m_learnedLimit = std::max(std::min(m_learnedLimit, static_cast<double>(inFlight)) * learnedDecrease, 1.0);
}

void TargetHealth::failed(MonotonicTime now)
{
    ++m_failuresInRow;
    m_failedAt = now;
}

bool TargetHealth::isHealthy(MonotonicTime now) const
{
    if (!m_announced || now - m_announcedAt > m_announcementLifetime) {
        return false;
    }
    if (m_failuresInRow >= unhealthyFailures && now - m_failedAt < failureLifetime) {
        return false;
    }
    return !m_probedUnhealthy || m_healthTrust < minimumTrust || now - m_probedAt > probeResultLifetime;
}

std::uint32_t TargetHealth::limit(MonotonicTime now, Duration slowStart) const
{
    if (!isHealthy(now)) {
        return 1;
    }
    const double full = m_slots;
    const double limit = std::min({full * slowStartShare(now, slowStart), m_learnedLimit, full - discountedExcess(now)});
    return static_cast<std::uint32_t>(std::max(limit, 1.0));
}

double TargetHealth::slowStartShare(MonotonicTime now, Duration slowStart) const
{
    if (now - m_startedAt >= slowStart) {
        return 1;
    }
    return initialShare + (1 - initialShare) * ratio(now - m_startedAt, slowStart);
}

double TargetHealth::discountedExcess(MonotonicTime now) const
{
    const double age = std::min(ratio(now - m_probedAt, probeResultLifetime), 1.0);
    return m_reportedExcess * m_loadTrust * (1 - age);
}

} // namespace nutmeghinge
