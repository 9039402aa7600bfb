#include "ownershipmap.h"

#include <algorithm>

namespace nutmeghinge {

const ShardSection *OwnershipMap::section(const ServiceName &service) const
{
    const auto found = std::find_if(sections.begin(), sections.end(), [&](const ShardSection &section) { return section.service == service; });
    return found == sections.end() ? nullptr : &*found;
}

const ShardSection *OwnershipMap::sectionOf(ShardIndex shard) const
{
    const auto found = std::find_if(sections.begin(), sections.end(), [&](const ShardSection &section) { return section.contains(shard); });
    return found == sections.end() ? nullptr : &*found;
}

} // namespace nutmeghinge
