#pragma once

#include "units.h"

#include <cstdint>
#include <string>

namespace nutmeghinge {

/** One request that the load generator sends, with its retries. */
struct LoadRequest {
    enum class Kind : std::uint8_t {
        /** Safe and small. */
        Lookup,
        /** Non-idempotent, with an Idempotency-Key. */
        Order,
        /** Safe and large. */
        Download,
    };

    Kind kind = Kind::Lookup;
    std::string key;
    /** Unique in the run; the answer must repeat it. */
    std::string order;
    /** When it was due; latency counts from here. */
    MonotonicTime due;
};

/** How a request or one attempt of it ended. */
enum class LoadOutcome : std::uint8_t {
    /** With the whole and right answer. */
    Answered,
    /** Refused as not run, or no connection could be made. */
    NotRun,
    /** It may have been run. */
    Unknown,
    /** A whole answer that belongs to another request, or to none. */
    Wrong,
    /** An answer that broke off. */
    Truncated,
};

} // namespace nutmeghinge
