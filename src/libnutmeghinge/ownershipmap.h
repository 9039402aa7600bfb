#pragma once

#include "fence.h"
#include "ids.h"
#include "shardownership.h"

#include <cstdint>
#include <vector>

namespace nutmeghinge {

/** Shards of one service in a cell of several. */
struct ShardSection {
    ServiceName service;
    std::uint32_t first = 0;
    std::uint32_t count = 0;

    bool contains(ShardIndex shard) const { return shard.value() >= first && shard.value() - first < count; }

    friend bool operator==(const ShardSection &, const ShardSection &) = default;
};

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
    /** Sections of the services that are divided by key, one after the other; empty in a cell of one service. */
    std::vector<ShardSection> sections;

    /** Section of the service; null in a cell of one service, or where the service has none. */
    const ShardSection *section(const ServiceName &service) const;
    /** Section that the shard lies in; null in a cell of one service. */
    const ShardSection *sectionOf(ShardIndex shard) const;

    friend bool operator==(const OwnershipMap &, const OwnershipMap &) = default;
};

} // namespace nutmeghinge
