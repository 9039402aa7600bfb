#pragma once

#include "ids.h"
#include "units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace nutmeghinge {

/** A service that receives requests of a route, with its share of them. */
struct WeightedService {
    ServiceName service;
    /** Share of the route's requests, relative to the sum of the route's weights. */
    std::uint32_t weight = 1;

    friend bool operator==(const WeightedService &, const WeightedService &) = default;
};

/** Settings for the requests of one host and path prefix, from the document. */
struct RequestRoute {
    std::string name;
    /** Value of the Host header, without port and in lower case. */
    std::string host;
    /** Path prefix; begins and ends with a slash. */
    std::string prefix;
    /** Never empty. */
    std::vector<WeightedService> services;
    /** The requests are idempotent: they may run more than once. */
    bool repeatable = false;
    /** The answers are large: transferring one between zones costs more than waiting for a replica in the node's zone. */
    bool largeAnswers = false;
    /** Time limit for an answer to the caller; zero: the service's deadline. */
    Duration timeout{0};
    /** Latency objective: time within which the caller should have an answer; zero: none. */
    Duration objective{0};
    /** Number of attempts with an unknown outcome after which a request is not sent again; zero: only the retry budget limits them. */
    std::uint32_t maximumAttempts = 0;
    /** Priority of the requests; 0 is the most urgent. */
    std::uint32_t priority = 0;

    friend bool operator==(const RequestRoute &, const RequestRoute &) = default;
};

} // namespace nutmeghinge
