#include "shardof.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;

TEST_CASE("A hot key has its own shard")
{
    OwnershipMap map;
    const std::uint64_t hash = hashOfKey("merchant-7");
    CHECK(shardOfHash(hash, map, 64).value() == hash % 64);

    map.hotKeys = {0, hash};
    CHECK(shardOfHash(hash, map, 64) == ShardIndex(65));
}
