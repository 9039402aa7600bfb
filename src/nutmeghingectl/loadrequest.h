#pragma once

#include "units.h"

#include <cstdint>
#include <string>

namespace nutmeghinge {

/** One request of the load generator; all its retries share it. */
struct LoadRequest {
    enum class Kind : std::uint8_t {
        /** Safe request with a small answer. */
        Lookup,
        /** Non-idempotent request with an Idempotency-Key. */
        Order,
        /** Safe request with a large answer. */
        Download,
    };

    Kind kind = Kind::Lookup;
    std::string key;
    /** Id of the request, unique in the run; the answer must repeat it. */
    std::string order;
    /** Time at which the request was due; its latency is measured from here. */
    MonotonicTime due;
};

/** How a request or one attempt of it ended. */
enum class LoadOutcome : std::uint8_t {
    /** The answer is complete and correct. */
    Answered,
    /** The request was refused as not run, or no connection could be made. */
    NotRun,
    /** The request may have been run. */
    Unknown,
    /** The answer is complete but belongs to another request, or is invalid. */
    Wrong,
    /** The connection was closed before the answer was complete. */
    Truncated,
};

} // namespace nutmeghinge
