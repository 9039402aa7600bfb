#pragma once

#include "ids.h"
#include "units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace nutmeghinge {

/** A service that a route sends to, with its share of the route's requests. */
struct WeightedService {
    ServiceName service;
    /** Share, relative to the sum of the route's weights. */
    std::uint32_t weight = 1;

    friend bool operator==(const WeightedService &, const WeightedService &) = default;
};

/** What operators decided for the requests of one host and path prefix. */
struct RequestRoute {
    std::string name;
    /** Value of the Host header, without port and in lower case. */
    std::string host;
    /** Begins and ends with a slash. */
    std::string prefix;
    /** At least one. */
    std::vector<WeightedService> services;
    /** A request may run more than once. */
    bool repeatable = false;
    /** Answers are large: their way between zones costs more than a wait. */
    bool largeAnswers = false;
    /** Longest time until the caller has an answer; zero: the service's deadline. */
    Duration timeout{0};
    /** Time within which an answer is worth most to the caller; zero: none is stated. */
    Duration objective{0};
    /** Targets that one request may be sent to; zero: no bound beside the retry budget. */
    std::uint32_t maximumAttempts = 0;
    /** Rank of the requests, 0 is the most urgent. */
    std::uint32_t priority = 0;

    friend bool operator==(const RequestRoute &, const RequestRoute &) = default;
};

} // namespace nutmeghinge
