#pragma once

#include "ids.h"
#include "storedanswer.h"
#include "units.h"

#include <cstdint>
#include <optional>
#include <string>

namespace nutmeghinge {

/**
 * Memory of one non-idempotent request by its Idempotency-Key. Travels with a
 * planned handover of its shard.
 */
struct DeduplicationEntry {
    ShardIndex shard;
    /** Key of the service and the caller's Idempotency-Key, joined. */
    std::string key;
    /** Empty where the request's outcome is unknown, or its answer was too large to keep. */
    std::optional<StoredAnswer> answer;
    /** Age when the entry was exported. */
    Duration age{0};
    /** Hash of method, path and size of the body; 0 where it is not known. */
    std::uint64_t fingerprint = 0;

    friend bool operator==(const DeduplicationEntry &, const DeduplicationEntry &) = default;
};

} // namespace nutmeghinge
