#pragma once

#include <cstdint>
#include <random>
#include <vector>

namespace nutmeghinge {

/** Draws ranks from 0, each with a probability that falls with a power of the rank. */
class ZipfDistribution
{
public:
    /** An exponent of 0 draws all ranks alike. */
    ZipfDistribution(std::uint32_t ranks, double exponent);

    std::uint32_t draw(std::mt19937_64 &random) const;

private:
    /** Probability of each rank and those before it. */
    std::vector<double> m_cumulative;
};

} // namespace nutmeghinge
