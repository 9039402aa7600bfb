#pragma once

#include "endpoint.h"
#include "units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace nutmeghinge {

/** What the load generator sends, and where. */
struct LoadOptions {
    /** Caller listeners of nodes; requests take them in turn. */
    std::vector<Endpoint> entries;
    /** Targets whose executions are compared at the end; empty: none are. */
    std::vector<Endpoint> targets;
    std::string host;
    /** Request header that holds the key, in lower case. */
    std::string keyHeader = "customer-key";
    /** Requests a second, sent whether or not earlier ones are answered. */
    double rate = 100;
    Duration duration{std::chrono::seconds(10)};
    /** Longest time of one request with its retries. */
    Duration timeout{std::chrono::seconds(5)};
    std::uint32_t keys = 1000;
    /** Exponent of the keys' Zipf distribution; 0: all alike. */
    double skew = 0.9;
    /** Share of requests that are non-idempotent orders; percent. */
    std::uint32_t orderPercent = 20;
    /** Body of an order; bytes. */
    std::uint32_t orderBytes = 100;
    /** Share of requests that are downloads; percent. */
    std::uint32_t downloadPercent = 0;
    std::uint64_t downloadBytes = 1000000;
    std::uint64_t seed = 1;
    /** Sends a request again that was refused as not run. */
    bool retry = false;
};

} // namespace nutmeghinge
