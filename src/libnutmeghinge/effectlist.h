#pragma once

#include "effects.h"

#include <utility>

namespace nutmeghinge {

/**
 * Collects the effects of one event. Exists for one call of the reducer. Sets the
 * time of timeline records from the node's hybrid clock.
 */
class EffectList
{
public:
    explicit EffectList(HybridTime now)
        : m_now(now)
    {
    }

    void add(Effect effect) { m_effects.push_back(std::move(effect)); }
    /** Adds a Record effect and sets the record's time. */
    void record(TimelineRecord record);
    /** Moves the collected effects out of the list. */
    Effects take() { return std::move(m_effects); }

private:
    HybridTime m_now;
    Effects m_effects;
};

} // namespace nutmeghinge
