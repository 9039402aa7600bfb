#include "targetadmission.h"

#include "document.h"
#include "request.h"

#include <algorithm>
#include <cassert>

namespace nutmeghinge {

namespace {

constexpr Duration minimumRetryAfter = std::chrono::milliseconds(100);
/** One long download must not look like a slow target. */
constexpr int longestSampleInServiceTimes = 4;
constexpr int serviceTimeWindow = 16;

bool blocksHandover(const Request &request)
{
    return !request.safe || !request.answerBegun;
}

} // namespace

bool TargetAdmission::hasFreeSlot(const Document &document, MonotonicTime now) const
{
    return m_inFlight < m_health.limit(now, document.slowStart);
}

Duration TargetAdmission::expectedWait(const Document &document, MonotonicTime now) const
{
    return m_serviceTime * (m_queue.size() + 1) / m_health.limit(now, document.slowStart);
}

Duration TargetAdmission::retryAfter(const Document &document, MonotonicTime now) const
{
    return std::max(expectedWait(document, now), minimumRetryAfter);
}

void TargetAdmission::started(const Request &request)
{
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
    if (m_serviceTime == Duration::zero()) {
        m_serviceTime = sample;
        return;
    }
    m_serviceTime += (std::min(sample, m_serviceTime * longestSampleInServiceTimes) - m_serviceTime) / serviceTimeWindow;
}

std::uint32_t TargetAdmission::blocking(ShardIndex shard) const
{
    return shard.value() < m_blocking.size() ? m_blocking[shard.value()] : 0;
}

} // namespace nutmeghinge
