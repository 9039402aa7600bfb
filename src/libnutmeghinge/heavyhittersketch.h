#pragma once

#include "memberload.h"
#include "units.h"

#include <cstdint>
#include <vector>

namespace nutmeghinge {

/** Finds the most requested keys in bounded memory with the Space-Saving algorithm of Metwally et al. */
class HeavyHitterSketch
{
public:
    /** Counts one request of a key. */
    void count(std::uint64_t keyHash);
    /**
     * Returns the keys with at least a hundredth of the requests since the last
     * call, highest rate first, and resets the counts.
     */
    std::vector<KeyLoad> take(Duration elapsed);

private:
    struct Counter {
        std::uint64_t keyHash = 0;
        std::uint64_t count = 0;
        /** Maximum overestimation of count, inherited from the key that this one replaced. */
        std::uint64_t error = 0;
    };

    std::vector<Counter> m_counters;
    /** Requests counted since the last call of take(). */
    std::uint64_t m_total = 0;
};

} // namespace nutmeghinge
