#include "documentfreshness.h"

namespace nutmeghinge {

namespace {

/** Covers a call of the coordinator that waits, and the interval between heartbeats. */
constexpr Duration confirmationLifetime = std::chrono::milliseconds(1500);

std::optional<Duration> ageOf(const std::optional<MonotonicTime> &at, MonotonicTime now)
{
    return at ? std::optional<Duration>(std::max(Duration(0), std::chrono::duration_cast<Duration>(now - *at))) : std::nullopt;
}

} // namespace

void DocumentFreshness::confirmedByPlatform(MonotonicTime at)
{
    m_byPlatform = std::max(m_byPlatform, std::optional(at));
}

void DocumentFreshness::confirmedByCoordinator(MonotonicTime at)
{
    m_byCoordinator = std::max(m_byCoordinator, std::optional(at));
}

bool DocumentFreshness::isConfirmedByCoordinator(MonotonicTime now) const
{
    return m_byCoordinator && now < *m_byCoordinator + confirmationLifetime;
}

std::optional<Duration> DocumentFreshness::ageByPlatform(MonotonicTime now) const
{
    return ageOf(m_byPlatform, now);
}

std::optional<Duration> DocumentFreshness::age(MonotonicTime now) const
{
    return ageOf(confirmedAt(), now);
}

} // namespace nutmeghinge
