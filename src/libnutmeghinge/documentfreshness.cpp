#include "documentfreshness.h"

#include <algorithm>

namespace nutmeghinge {

void DocumentFreshness::confirmedByPlatform(MonotonicTime sentAt)
{
    m_byPlatform = std::max(m_byPlatform, std::optional(sentAt));
}

std::optional<Duration> DocumentFreshness::age(MonotonicTime now) const
{
    const std::optional<MonotonicTime> at = confirmedAt();
    return at ? std::optional<Duration>(std::max(Duration(0), std::chrono::duration_cast<Duration>(now - *at))) : std::nullopt;
}

} // namespace nutmeghinge
