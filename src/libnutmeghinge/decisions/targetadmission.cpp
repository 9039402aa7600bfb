#include "targetadmission.h"

#include "document.h"
#include "request.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace nutmeghinge {

namespace {

constexpr Duration minimumRetryAfter = std::chrono::milliseconds(100);
/** A caller comes back after this part of the time that it has left, at the latest, so that it can be served in the rest. */
constexpr int returnShare = 3;
/** A longer sample counts as this multiple of the average, so that one long download does not look like a slow target. */
constexpr int maximumSampleInAverages = 4;
/** Ratio of the times of two classes above which requests of the one are short beside those of the other. */
constexpr int shortWorkFactor = 2;
/** Number of samples over which the averages are smoothed. */
constexpr int serviceTimeWindow = 16;

void updateAverage(Duration &average, Duration sample)
{
    if (average == Duration::zero()) {
        average = sample;
        return;
    }
    average += (std::min(sample, average * maximumSampleInAverages) - average) / serviceTimeWindow;
}

bool blocksHandover(const Request &request)
{
    return !request.safe || !request.answerBegun;
}

} // namespace

void TargetAdmission::announced(const TargetAnnounced &announcement, MonotonicTime now)
{
    if (m_health.announced(announcement, now)) {
        m_rateLimit.reset();
    }
}

bool TargetAdmission::maySend(const Document &document, MonotonicTime now) const
{
    return m_inFlight < m_health.limit(now, document.slowStart) && m_rateLimit.maySend(now);
}

bool TargetAdmission::takeProbe(MonotonicTime now)
{
    if (m_rateLimit.rate() && (!m_queue.isEmpty() || !m_rateLimit.maySend(now))) {
        return false;
    }
    m_rateLimit.sent(now);
    return true;
}

std::uint32_t TargetAdmission::usableSlots(MonotonicTime now) const
{
    const std::optional<RequestRate> rate = m_rateLimit.placingRate(now);
    if (!rate) {
        return m_health.slots();
    }
    const double busy = std::ceil(rate->value() * std::chrono::duration<double>(m_serviceTime).count());
    return static_cast<std::uint32_t>(std::clamp(busy, 1.0, static_cast<double>(m_health.slots())));
}

Duration TargetAdmission::expectedWait(const QueueRank &rank, const Document &document, MonotonicTime now) const
{
    // A slot becomes free only when a running request ends.
    const Duration slotWait = (m_queue.workBefore(rank) + m_serviceTime) / m_health.limit(now, document.slowStart);
    return m_rateLimit.rate() ? std::max(slotWait, m_rateLimit.waitBehind(m_queue.countBefore(rank), now)) : slotWait;
}

Duration TargetAdmission::retryAfter(const Document &document, MonotonicTime now) const
{
    const Duration drained = (m_queue.work() + m_serviceTime) / m_health.limit(now, document.slowStart);
    return std::max({drained, m_rateLimit.waitBehind(m_queue.size(), now), minimumRetryAfter});
}

Duration TargetAdmission::takeReturnTime(const Request &request, const Document &document, MonotonicTime now)
{
    Duration interval = m_serviceTime / m_health.limit(now, document.slowStart);
    const std::optional<RequestRate> rate = m_rateLimit.rate();
    if (rate && rate->value() > 0) {
        interval = std::max(interval, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate->value())));
    }
    const Duration longest = std::max(minimumRetryAfter, std::chrono::duration_cast<Duration>(request.deadline - now) / returnShare);
    return m_returnSchedule.next(now, retryAfter(document, now), interval, longest);
}

Duration TargetAdmission::serviceTime(std::uint32_t workClass) const
{
    const auto known = m_classTimes.find(workClass);
    return known == m_classTimes.end() ? m_serviceTime : known->second.average;
}

bool TargetAdmission::isShort(std::uint32_t workClass) const
{
    const auto known = m_classTimes.find(workClass);
    if (known == m_classTimes.end()) {
        return false;
    }
    // One long request of a rare class says little about the others.
    const auto isLongClass = [&](const auto &other) {
        return other.second.samples >= serviceTimeWindow && other.second.average > shortWorkFactor * known->second.average;
    };
    return std::any_of(m_classTimes.begin(), m_classTimes.end(), isLongClass);
}

std::string TargetAdmission::describe(const Document &document, MonotonicTime now) const
{
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(retryAfter(document, now));
    std::string numbers = std::to_string(m_inFlight) + " running, " + std::to_string(m_queue.size()) + " waiting, limit "
                          + std::to_string(m_health.limit(now, document.slowStart)) + ", expected wait " + std::to_string(wait.count()) + " ms";
    if (m_rateLimit.rate()) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_rateLimit.namedAt());
        numbers += ", the target takes " + toText(*m_rateLimit.rate()) + ", named " + std::to_string(age.count()) + " ms ago";
    }
    return numbers;
}

void TargetAdmission::started(const Request &request, MonotonicTime now)
{
    m_rateLimit.sent(now);
    const std::size_t shard = request.shard.value();
    if (shard >= m_blocking.size()) {
        m_blocking.resize(shard + 1);
    }
    ++m_blocking[shard];
    ++m_inFlight;
}

void TargetAdmission::answering(const Request &request)
{
    if (!blocksHandover(request)) {
        --m_blocking[request.shard.value()];
    }
}

void TargetAdmission::ended(const Request &request)
{
    assert(m_inFlight > 0);
    --m_inFlight;
    if (blocksHandover(request)) {
        --m_blocking[request.shard.value()];
    }
}

void TargetAdmission::answered(const Request &request, MonotonicTime now)
{
    m_health.answered(now);
    const Duration sample = now - request.sentAt;
    m_pace.addSample(request, sample);
    updateAverage(m_serviceTime, sample);
    ClassTime &classTime = m_classTimes[request.workClass];
    updateAverage(classTime.average, sample);
    ++classTime.samples;
}

std::uint32_t TargetAdmission::blocking(ShardIndex shard) const
{
    return shard.value() < m_blocking.size() ? m_blocking[shard.value()] : 0;
}

} // namespace nutmeghinge
