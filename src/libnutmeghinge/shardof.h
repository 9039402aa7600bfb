#pragma once

#include "ids.h"
#include "ownershipmap.h"

#include <cstdint>
#include <limits>
#include <string_view>

namespace nutmeghinge {

/** Index that is not a shard of any map. */
inline constexpr ShardIndex noShard{std::numeric_limits<std::uint32_t>::max()};

/** Returns the XXH64 hash of a key; never 0, which marks an unused hot key entry. */
std::uint64_t hashOfKey(std::string_view key);

/** Returns the shard of a key by its hash: the key's own shard if the map lists it as hot, otherwise one of the document's shards. */
ShardIndex shardOfHash(std::uint64_t keyHash, const OwnershipMap &map, std::uint32_t documentShards);

/** Returns the shard of a numeric key below numericKeys, where the given number of shards are ranges of equal length. */
std::uint32_t shardOfNumber(std::uint32_t key, std::uint32_t shards);

} // namespace nutmeghinge
