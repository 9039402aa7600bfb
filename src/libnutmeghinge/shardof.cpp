#include "shardof.h"

#include "targetlease.h"

#include <algorithm>
#include <xxhash.h>

namespace nutmeghinge {

std::uint64_t hashOfKey(std::string_view key)
{
    const std::uint64_t hash = XXH64(key.data(), key.size(), 0);
    return hash == 0 ? 1 : hash;
}

ShardIndex shardOfHash(std::uint64_t keyHash, const OwnershipMap &map, std::uint32_t documentShards)
{
    const auto hot = std::find(map.hotKeys.begin(), map.hotKeys.end(), keyHash);
    if (hot != map.hotKeys.end()) {
        return ShardIndex(documentShards + static_cast<std::uint32_t>(hot - map.hotKeys.begin()));
    }
    return ShardIndex(static_cast<std::uint32_t>(keyHash % documentShards));
}

std::uint32_t shardOfNumber(std::uint32_t key, std::uint32_t shards)
{
    return static_cast<std::uint32_t>(std::uint64_t(key) * shards / numericKeys);
}

} // namespace nutmeghinge
