#include "targetleases.h"

#include "events.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

/** Parts per 1000 by which a target's clock may run slow; limit of the target protocol. */
constexpr std::int64_t targetDriftPerMille = 20;
/** A shorter target lease would expire before the target's next heartbeat can renew it. */
constexpr Duration shortestLease = std::chrono::milliseconds(500);

/** Returns the first numeric key of a shard. */
std::uint32_t firstKey(std::size_t shard, std::size_t shards)
{
    return static_cast<std::uint32_t>((shard * numericKeys + shards - 1) / shards);
}

std::uint32_t lastKey(std::size_t shard, std::size_t shards)
{
    return firstKey(shard + 1, shards) - 1;
}

} // namespace

void TargetLeases::resize(const ShardSection &section)
{
    m_first = section.first;
    if (m_entries.size() != section.count) {
        m_entries.assign(section.count, Entry());
    }
}

const TargetLeases::Entry *TargetLeases::entryOf(ShardIndex shard) const
{
    const std::uint32_t index = shard.value() - m_first;
    return shard.value() >= m_first && index < m_entries.size() ? &m_entries[index] : nullptr;
}

TargetLeases::Entry *TargetLeases::entryOf(ShardIndex shard)
{
    return const_cast<Entry *>(std::as_const(*this).entryOf(shard));
}

/** Calls the function with the entry of each shard that overlaps the range. */
template <typename Range, typename Function>
void TargetLeases::forEachShard(const Range &range, Function function)
{
    const std::size_t shards = m_entries.size();
    for (std::size_t shard = std::size_t(range.first) * shards / numericKeys; shard < shards && firstKey(shard, shards) <= range.last; ++shard) {
        function(m_entries[shard]);
    }
}

void TargetLeases::announced(const TargetAnnounced &announcement, const ShardSection &section, const Fence &mapVersion, MonotonicTime now)
{
    resize(section);
    if (announcement.targetIncarnation != m_targetIncarnation) {
        const bool nodeHasStarted = m_targetIncarnation == 0;
        // A node that has just started lets the target keep what it already holds.
        m_highestEarlierFence = nodeHasStarted ? Fence() : mapVersion;
        m_targetIncarnation = announcement.targetIncarnation;
        clear();
        if (nodeHasStarted) {
            // Grants of this node's earlier incarnation are unknown but expire by then; all later grants are its own.
            m_leasesEnd = now + m_holdTime + m_holdTime * targetDriftPerMille / 1000;
        }
    }
    if (!announcement.targetLeases) {
        return;
    }
    for (Entry &entry : m_entries) {
        entry.reported = false;
    }
    for (const HeldRange &range : announcement.targetLeases->held) {
        forEachShard(range, [&](Entry &entry) {
            entry.reported = true;
            entry.listedSinceGrant = entry.listedSinceGrant || range.fence >= entry.grantedFence;
        });
    }
    for (const ReleasedRange &range : announcement.targetLeases->released) {
        forEachShard(range, [&](Entry &entry) { entry.outgoingToken = range.handover; });
    }
    for (Entry &entry : m_entries) {
        if (entry.reported) {
            entry.outgoingToken.clear();
            entry.incomingToken.clear();
        } else {
            entry.granted = false;
            // A heartbeat sent before the answer that granted the shard doesn't list it either.
            entry.leaseEnd = entry.listedSinceGrant ? MonotonicTime() : entry.leaseEnd;
        }
    }
}

std::optional<TargetLeaseGrant>
TargetLeases::grant(const OwnershipMap &map, const ShardSection &section, MemberSlot self, MonotonicTime memberLeaseEnd, MonotonicTime now, bool renewsOnly)
{
    resize(section);
    TargetLeaseGrant grant;
    grant.holdTime = std::min(m_holdTime, (memberLeaseEnd - now) * 1000 / (1000 + targetDriftPerMille));
    if (m_holdTime == Duration::zero() || grant.holdTime < shortestLease) {
        return std::nullopt;
    }
    const MonotonicTime leaseEnd = now + grant.holdTime + grant.holdTime * targetDriftPerMille / 1000;
    const std::size_t shards = m_entries.size();
    for (std::size_t i = 0; i < shards; ++i) {
        Entry &entry = m_entries[i];
        const ShardOwnership &owned = map.shards[m_first + i];
        const bool mayGrant = !renewsOnly || !isFree(ShardIndex(static_cast<std::uint32_t>(m_first + i)), now);
        entry.granted = mayGrant && owned.state == ShardOwnership::State::Owned && owned.owner == self && owned.fence > m_highestEarlierFence;
        if (!entry.granted) {
            continue;
        }
        entry.grantedFence = owned.fence;
        entry.listedSinceGrant = false;
        entry.leaseEnd = std::max(entry.leaseEnd, leaseEnd);
        const std::uint32_t first = firstKey(i, shards);
        GrantedRange *last = grant.ranges.empty() ? nullptr : &grant.ranges.back();
        if (last && last->last + 1 == first && last->fence == owned.fence && last->handover == entry.incomingToken) {
            last->last = lastKey(i, shards);
        } else {
            grant.ranges.push_back({first, lastKey(i, shards), owned.fence, entry.incomingToken});
        }
    }
    m_leasesEnd = std::max(m_leasesEnd, leaseEnd);
    return grant;
}

bool TargetLeases::mayRun(ShardIndex shard, const Fence &fence, MonotonicTime now) const
{
    const Entry *entry = entryOf(shard);
    return entry && entry->granted && entry->grantedFence == fence && now < m_leasesEnd;
}

bool TargetLeases::isFree(ShardIndex shard, MonotonicTime now) const
{
    const Entry *entry = entryOf(shard);
    return !entry || now >= m_leasesEnd || (!entry->reported && now >= entry->leaseEnd);
}

std::vector<ShardIndex> TargetLeases::held(MonotonicTime now) const
{
    std::vector<ShardIndex> result;
    for (std::uint32_t i = 0; i < m_entries.size(); ++i) {
        if (!isFree(ShardIndex(m_first + i), now)) {
            result.emplace_back(m_first + i);
        }
    }
    return result;
}

std::string TargetLeases::handoverTokenOf(ShardIndex shard) const
{
    const Entry *entry = entryOf(shard);
    return entry ? entry->outgoingToken : std::string();
}

void TargetLeases::setHandoverToken(ShardIndex shard, std::string token)
{
    if (Entry *entry = entryOf(shard)) {
        entry->incomingToken = std::move(token);
    }
}

void TargetLeases::clear()
{
    for (Entry &entry : m_entries) {
        entry = Entry{.incomingToken = std::move(entry.incomingToken)};
    }
    m_leasesEnd = MonotonicTime();
}

} // namespace nutmeghinge
