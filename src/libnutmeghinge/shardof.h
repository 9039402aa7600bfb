#pragma once

#include "ids.h"
#include "ownershipmap.h"

#include <cstdint>
#include <limits>
#include <string_view>

namespace nutmeghinge {

/** Beyond the shards of any map. */
inline constexpr ShardIndex noShard{std::numeric_limits<std::uint32_t>::max()};

/** xxh64 hash of a key; never 0, which marks an unused hot key entry. */
std::uint64_t hashOfKey(std::string_view key);

/** Shard of a key's hash: its own if the map lists it as hot, else one of the document's number. */
ShardIndex shardOfHash(std::uint64_t keyHash, const OwnershipMap &map, std::uint32_t documentShards);

/** Shard of a number below numericKeys, of so many shards that are ranges of equal length. */
std::uint32_t shardOfNumber(std::uint32_t key, std::uint32_t shards);

} // namespace nutmeghinge
