#include "ownershipmaphistory.h"

namespace nutmeghinge {

void OwnershipMapHistory::start(const OwnershipMap &map)
{
    m_start = map.version;
    m_latest = map;
    m_changedIn.assign(map.shards.size(), map.version);
}

void OwnershipMapHistory::record(const OwnershipMap &map)
{
    if (map.version == m_latest.version) {
        return;
    }
    if (map.shards.size() != m_latest.shards.size() || map.sections != m_latest.sections || map.hotKeys != m_latest.hotKeys) {
        start(map);
        return;
    }
    for (std::size_t i = 0; i < map.shards.size(); ++i) {
        if (map.shards[i] != m_latest.shards[i]) {
            m_latest.shards[i] = map.shards[i];
            m_changedIn[i] = map.version;
        }
    }
    m_latest.version = map.version;
}

std::optional<OwnershipMapChanges> OwnershipMapHistory::changesSince(const Fence &known) const
{
    const bool isOfThisTerm = known.term == m_latest.version.term && known >= m_start && known <= m_latest.version;
    if (known != m_start && !isOfThisTerm) {
        return std::nullopt;
    }
    OwnershipMapChanges changes{known, m_latest.version, {}};
    for (std::size_t i = 0; i < m_changedIn.size(); ++i) {
        if (m_changedIn[i] <= known) {
            continue;
        }
        const ShardOwnership &ownership = m_latest.shards[i];
        const bool continues =
            !changes.runs.empty() && changes.runs.back().first.value() + changes.runs.back().count == i && changes.runs.back().ownership == ownership;
        if (!continues) {
            changes.runs.push_back({ShardIndex(static_cast<std::uint32_t>(i)), 0, ownership});
        }
        ++changes.runs.back().count;
    }
    return changes;
}

} // namespace nutmeghinge
