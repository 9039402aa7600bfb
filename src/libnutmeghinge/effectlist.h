#pragma once

#include "effects.h"

#include <utility>

namespace nutmeghinge {

/**
 * Collects the effects of one event. Lives for one call of the reducer. Stamps
 * records with the node's hybrid clock.
 */
class EffectList
{
public:
    explicit EffectList(HybridTime now)
        : m_now(now)
    {
    }

    void add(Effect effect) { m_effects.push_back(std::move(effect)); }
    /** Adds a Record effect; the record's time is set here. */
    void record(TimelineRecord record);
    Effects take() { return std::move(m_effects); }

private:
    HybridTime m_now;
    Effects m_effects;
};

} // namespace nutmeghinge
