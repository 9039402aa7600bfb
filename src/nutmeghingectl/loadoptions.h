#pragma once

#include "endpoint.h"
#include "units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace nutmeghinge {

/** What the load generator sends and to which nodes. */
struct LoadOptions {
    /** Caller listeners of nodes; requests are sent to them in turn. */
    std::vector<Endpoint> entries;
    /** Targets whose executions are compared at the end; may be empty. */
    std::vector<Endpoint> targets;
    /** Host header of the requests, which selects the service. */
    std::string host;
    /** Request header that holds the key, in lower case. */
    std::string keyHeader = "customer-key";
    /** Requests per second, sent whether or not earlier ones are answered. */
    double rate = 100;
    /** Duration of the run. */
    Duration duration{std::chrono::seconds(10)};
    /** Timeout of a request, including its retries. */
    Duration timeout{std::chrono::seconds(5)};
    /** Number of different keys. */
    std::uint32_t keys = 1000;
    /** Exponent of the Zipf distribution of the keys; 0 is a uniform distribution. */
    double skew = 0.9;
    /** Share of requests that are non-idempotent orders, in percent. */
    std::uint32_t orderPercent = 20;
    /** Body size of an order, in bytes. */
    std::uint32_t orderBytes = 100;
    /** Share of requests that are downloads, in percent. */
    std::uint32_t downloadPercent = 0;
    /** Body size of a download, in bytes. */
    std::uint64_t downloadBytes = 1000000;
    /** Random seed of keys, request kinds and send times. */
    std::uint64_t seed = 1;
    /** Whether requests that were refused as not run are retried. */
    bool retry = false;
};

} // namespace nutmeghinge
