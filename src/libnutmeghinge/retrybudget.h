#pragma once

#include <cstdint>

namespace nutmeghinge {

/**
 * Token bucket that bounds retries to a share of the requests, so that retries
 * cannot keep an overload going.
 */
class RetryBudget
{
public:
    /** A new request came; it earns the given percentage of a retry. */
    void earn(std::uint32_t retryPercent);
    /** Takes one retry; false if there is none left. */
    bool spend();

private:
    /** Hundredths of a retry. */
    std::uint32_t m_credit = initialCredit;

    static constexpr std::uint32_t creditPerRetry = 100;
    static constexpr std::uint32_t initialCredit = 10 * creditPerRetry;
    static constexpr std::uint32_t maximumCredit = 50 * creditPerRetry;
};

} // namespace nutmeghinge
