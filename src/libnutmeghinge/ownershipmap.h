#pragma once

#include "fence.h"
#include "shardownership.h"

#include <cstdint>
#include <vector>

namespace nutmeghinge {

/**
 * Owner of every shard of a cell. Made by the coordinator only; members hold
 * copies and never apply one with a lower version.
 */
struct OwnershipMap {
    /** Version of the map: term of its coordinator and number within the term. */
    Fence version;
    /** One entry a shard: first those of the document's number, then one for each entry of hotKeys. */
    std::vector<ShardOwnership> shards;
    /** Hashes of the keys that are shards of their own; 0 is an unused entry. */
    std::vector<std::uint64_t> hotKeys;

    friend bool operator==(const OwnershipMap &, const OwnershipMap &) = default;
};

} // namespace nutmeghinge
