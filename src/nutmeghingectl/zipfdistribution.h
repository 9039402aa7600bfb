#pragma once

#include <cstdint>
#include <random>
#include <vector>

namespace nutmeghinge {

/** Draws ranks, counted from 0, with the probabilities of a Zipf distribution. */
class ZipfDistribution
{
public:
    /** With an exponent of 0, all ranks have the same probability. */
    ZipfDistribution(std::uint32_t ranks, double exponent);

    std::uint32_t draw(std::mt19937_64 &random) const;

private:
    /** Cumulative probability of each rank. */
    std::vector<double> m_cumulative;
};

} // namespace nutmeghinge
