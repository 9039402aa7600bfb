#pragma once

#include "fence.h"
#include "ids.h"
#include "shardownership.h"

#include <cstdint>
#include <vector>

namespace nutmeghinge {

/** Range of shards that belongs to one service in a cell of several services. */
struct ShardSection {
    ServiceName service;
    /** Index of the first shard. */
    std::uint32_t first = 0;
    /** Number of shards. */
    std::uint32_t count = 0;

    bool contains(ShardIndex shard) const { return shard.value() >= first && shard.value() - first < count; }

    friend bool operator==(const ShardSection &, const ShardSection &) = default;
};

/**
 * Owner of every shard of a cell. Only the coordinator creates and changes it;
 * members hold copies and never replace one by a map of a lower version.
 */
struct OwnershipMap {
    /** Version of the map: term of its coordinator and sequence number within the term. */
    Fence version;
    /** One entry per shard: first the document's shards, then one for each entry of hotKeys. */
    std::vector<ShardOwnership> shards;
    /** Hashes of the keys that have their own shard; 0 marks an unused entry. */
    std::vector<std::uint64_t> hotKeys;
    /** Contiguous sections of the services that are sharded by key; empty in a cell of one service. */
    std::vector<ShardSection> sections;

    /** Returns the section of the service, owned by the map; null in a cell of one service or if the service has no section. */
    const ShardSection *section(const ServiceName &service) const;
    /** Returns the section that contains the shard, owned by the map; null in a cell of one service. */
    const ShardSection *sectionOf(ShardIndex shard) const;

    friend bool operator==(const OwnershipMap &, const OwnershipMap &) = default;
};

} // namespace nutmeghinge
