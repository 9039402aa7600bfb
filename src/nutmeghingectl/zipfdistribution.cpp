#include "zipfdistribution.h"

#include <algorithm>
#include <cmath>

namespace nutmeghinge {

ZipfDistribution::ZipfDistribution(std::uint32_t ranks, double exponent)
{
    double sum = 0;
    for (std::uint32_t rank = 1; rank <= ranks; ++rank) {
        sum += std::pow(rank, -exponent);
        m_cumulative.push_back(sum);
    }
    for (double &probability : m_cumulative) {
        probability /= sum;
    }
}

std::uint32_t ZipfDistribution::draw(std::mt19937_64 &random) const
{
    const double point = std::uniform_real_distribution<double>(0, 1)(random);
    const auto found = std::upper_bound(m_cumulative.begin(), m_cumulative.end(), point);
    const auto rank = std::min(found - m_cumulative.begin(), std::ptrdiff_t(m_cumulative.size()) - 1);
    return static_cast<std::uint32_t>(rank);
}

} // namespace nutmeghinge
