#pragma once

#include "memberload.h"
#include "units.h"

#include <cstdint>
#include <vector>

namespace nutmeghinge {

/** Finds the most requested keys in bounded memory: the space-saving sketch of Metwally et al. */
class HeavyKeys
{
public:
    void count(std::uint64_t keyHash);
    /**
     * Keys with at least a hundredth of the requests since the last call, by
     * rate; forgets the counts.
     */
    std::vector<KeyLoad> take(Duration elapsed);

private:
    struct Counter {
        std::uint64_t keyHash = 0;
        std::uint64_t count = 0;
        /** Count that the key may have taken over from another. */
        std::uint64_t error = 0;
    };

    std::vector<Counter> m_counters;
    std::uint64_t m_total = 0;
};

} // namespace nutmeghinge
