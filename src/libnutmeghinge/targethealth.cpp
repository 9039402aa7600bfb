#include "targethealth.h"

#include <algorithm>
#include <cmath>

namespace nutmeghinge {

namespace {

constexpr Duration hintLifetime = std::chrono::seconds(3);
constexpr Duration failureLifetime = std::chrono::seconds(1);
constexpr std::uint32_t failuresOfUnhealthy = 3;
constexpr double coldShare = 0.25;
constexpr double learnedDecrease = 0.8;
constexpr double trustGain = 0.25;
constexpr double trustNeeded = 0.5;

double ratio(Duration part, Duration whole)
{
    return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

double moveTowards(double value, double goal)
{
    return value + (goal - value) * trustGain;
}

} // namespace

void TargetHealth::announced(const TargetAnnounced &announcement, MonotonicTime now)
{
    const bool restarted = !m_announced || announcement.targetIncarnation != m_incarnation;
    const bool resized = m_slots != std::max(announcement.slots, 1U);
    m_announced = true;
    m_announcedAt = now;
    m_endpoint = announcement.endpoint;
    m_target = announcement.target;
    m_incarnation = announcement.targetIncarnation;
    m_slots = std::max(announcement.slots, 1U);
    if (restarted || resized) {
        m_learnedLimit = m_slots;
    }
    if (restarted) {
        m_coldSince = now;
        m_failuresInRow = 0;
        m_probedUnhealthy = false;
        m_reportedExcess = 0;
    }
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
        // The target was said to be unhealthy and has answered.
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
    if (m_failuresInRow >= failuresOfUnhealthy && now - m_failedAt < failureLifetime) {
        return false;
    }
    return !m_probedUnhealthy || m_healthTrust < trustNeeded || now - m_probedAt > hintLifetime;
}

std::uint32_t TargetHealth::limit(MonotonicTime now, Duration slowStart) const
{
    if (!isHealthy(now)) {
        return 1;
    }
    const double full = m_slots;
    const double limit = std::min({full * warmShare(now, slowStart), m_learnedLimit, full - hintedExcess(now)});
    return static_cast<std::uint32_t>(std::max(limit, 1.0));
}

double TargetHealth::warmShare(MonotonicTime now, Duration slowStart) const
{
    if (now - m_coldSince >= slowStart) {
        return 1;
    }
    return coldShare + (1 - coldShare) * ratio(now - m_coldSince, slowStart);
}

double TargetHealth::hintedExcess(MonotonicTime now) const
{
    const double age = std::min(ratio(now - m_probedAt, hintLifetime), 1.0);
    return m_reportedExcess * m_loadTrust * (1 - age);
}

} // namespace nutmeghinge
