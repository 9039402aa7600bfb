#pragma once

#include "events.h"
#include "targetratelimit.h"

namespace nutmeghinge {

class EffectList;

/**
 * Records in the timeline what the target says about itself. Changes of a limit
 * and unreadable statements are recorded at most once a second each, since a
 * target may name another limit with each answer.
 */
class TargetStatementLog
{
public:
    void record(const TargetStated &stated,
                TargetRateLimit::Change change,
                std::optional<RequestRate> before,
                std::optional<RequestRate> now,
                MonotonicTime at,
                EffectList &effects);

private:
    MonotonicTime m_changeAt;
    MonotonicTime m_problemAt;
    std::uint32_t m_changesOmitted = 0;
};

} // namespace nutmeghinge
