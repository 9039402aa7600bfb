#pragma once

#include "fence.h"
#include "ids.h"
#include "ownershipmap.h"
#include "shardownership.h"

#include <cstdint>
#include <vector>

namespace nutmeghinge {

/** Adjacent shards with the same ownership. */
struct ShardRun {
    ShardIndex first;
    std::uint32_t count = 0;
    ShardOwnership ownership;

    friend bool operator==(const ShardRun &, const ShardRun &) = default;
};

/** Difference between two versions of a cell's ownership map that have the same shards, sections and hot keys. */
struct OwnershipMapChanges {
    /** Version that the changes start from. */
    Fence base;
    /** Version that they lead to. */
    Fence version;
    /** Shards that changed in between, with their ownership in the newer version. */
    std::vector<ShardRun> runs;

    /**
     * Brings the map to the newer version. Also possible from any version between
     * the two, since each shard that changed is overwritten. Returns false and
     * changes nothing if the map has another version or lacks a shard.
     */
    bool applyTo(OwnershipMap &map) const;

    friend bool operator==(const OwnershipMapChanges &, const OwnershipMapChanges &) = default;
};

} // namespace nutmeghinge
