#include "linkcapacity.h"

#include <algorithm>
#include <cmath>

namespace nutmeghinge {

namespace {

/** Part of the link for paced answers; the rest is for headers of packets, control messages and calls to the platform. */
constexpr double pacedShare = 0.9;
/** An answer is due after this multiple of the time that the link takes for it. */
constexpr double dueFactor = 2;
constexpr double burstSeconds = 0.02;
constexpr double chunkSeconds = 0.005;
constexpr double leastChunkBytes = 4096;
constexpr double mostChunkBytes = 65536;

} // namespace

LinkCapacity::LinkCapacity(double bytesPerSecond)
    : m_bytesPerSecond(bytesPerSecond * pacedShare)
    , m_available(burstBytes())
{
}

std::uint64_t LinkCapacity::chunkBytes() const
{
    return static_cast<std::uint64_t>(isUnlimited() ? mostChunkBytes : std::clamp(m_bytesPerSecond * chunkSeconds, leastChunkBytes, mostChunkBytes));
}

double LinkCapacity::burstBytes() const
{
    return std::max(m_bytesPerSecond * burstSeconds, 2 * leastChunkBytes);
}

double LinkCapacity::available(MonotonicTime now) const
{
    const double seconds = std::chrono::duration<double>(now - m_countedAt).count();
    return std::min(m_available + std::max(0.0, seconds) * m_bytesPerSecond, burstBytes());
}

void LinkCapacity::sent(std::uint64_t bytes, MonotonicTime now)
{
    if (isUnlimited()) {
        return;
    }
    m_available = available(now) - static_cast<double>(bytes);
    m_countedAt = std::max(m_countedAt, now);
}

MonotonicTime LinkCapacity::dueAt(std::uint64_t bytes, MonotonicTime now) const
{
    const std::chrono::duration<double> sending(static_cast<double>(bytes) / std::max(m_bytesPerSecond, 1.0));
    return now + std::chrono::duration_cast<Duration>(sending * dueFactor);
}

Duration LinkCapacity::timeUntilChunk(MonotonicTime now) const
{
    const double missing = isUnlimited() ? 0 : static_cast<double>(chunkBytes()) - available(now);
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(std::max(0.0, missing) / std::max(m_bytesPerSecond, 1.0)));
}

} // namespace nutmeghinge
