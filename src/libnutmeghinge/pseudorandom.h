#pragma once

#include <cstdint>

namespace nutmeghinge {

/** Pseudorandom number generator (SplitMix64); the same seed yields the same numbers. */
class PseudoRandom
{
public:
    explicit PseudoRandom(std::uint64_t seed)
        : m_state(seed)
    {
    }

    std::uint64_t next()
    {
        m_state += 0x9e3779b97f4a7c15;
        std::uint64_t value = m_state;
        value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
        value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
        return value ^ (value >> 31);
    }

    /** Returns a number from 0 to bound - 1. The bound must not be 0. */
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }

private:
    std::uint64_t m_state;
};

} // namespace nutmeghinge
