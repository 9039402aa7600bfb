#pragma once

#include "ids.h"
#include "storedanswer.h"
#include "units.h"

#include <cstdint>
#include <optional>
#include <string>

namespace nutmeghinge {

/**
 * State of one finished non-idempotent request with an Idempotency-Key. Sent to
 * the next owner in a planned handover of its shard.
 */
struct DeduplicationEntry {
    ShardIndex shard;
    /** Shard key and the caller's Idempotency-Key, joined by a line feed. */
    std::string key;
    /** Answer of the target; empty if the outcome is unknown or the answer was too large to store. */
    std::optional<StoredAnswer> answer;
    /** Time from the end of the request to the export of the entry. */
    Duration age{0};
    /** Hash of method, path and body size; 0 if unknown. */
    std::uint64_t fingerprint = 0;

    friend bool operator==(const DeduplicationEntry &, const DeduplicationEntry &) = default;
};

} // namespace nutmeghinge
