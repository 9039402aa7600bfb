#pragma once

#include "ids.h"
#include "units.h"

#include <cstdint>
#include <deque>
#include <map>

namespace nutmeghinge {

/**
 * Limits the retries at each service to a share of its requests within a sliding
 * window, so that retries cannot prolong an overload. Each service has a budget
 * of its own, because retries caused by one overloaded service could otherwise
 * use up what the requests for all others allow. Each node spends only its share,
 * so that all nodes together keep the limit without exchanging messages.
 */
class RetryBudget
{
public:
    struct Limits {
        /** Retries per request. */
        double ratio = 0.1;
        /** Retries allowed in each window regardless of the number of requests. */
        double reserve = 0;
        Duration window{std::chrono::seconds(10)};
    };

    void setLimits(const Limits &limits) { m_limits = limits; }
    /** Counts a request for the service. */
    void recordRequest(const ServiceName &service, MonotonicTime now);
    /** Counts one retry at the service. Returns false, without counting it, if the budget does not allow it. */
    bool spend(const ServiceName &service, MonotonicTime now);

private:
    /** Counts of one part of the window. */
    struct Part {
        MonotonicTime startedAt;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    Part &currentPart(const ServiceName &service, MonotonicTime now);

    Limits m_limits;
    /** Parts that overlap the last window of each service, oldest first. */
    std::map<ServiceName, std::deque<Part>> m_parts;
};

} // namespace nutmeghinge
