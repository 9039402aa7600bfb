#include "ownershipledger.h"

#include "coordinatorterm.h"
#include "effectlist.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

using State = ShardOwnership::State;

/** Time after a move during which a shard is not moved again. */
constexpr Duration coolDown = std::chrono::seconds(10);

TimelineRecord shardRecord(TimelineRecord::Kind kind, std::size_t shard, const ShardOwnership &entry)
{
    TimelineRecord record;
    record.kind = kind;
    record.shard = ShardIndex(static_cast<std::uint32_t>(shard));
    record.member = entry.owner;
    record.fence = entry.fence;
    return record;
}

/** Returns the next eligible member after the given one in cyclic order of slots, skipping the owner; noMember if there is none. */
MemberSlot followingMember(const std::vector<MemberSlot> &eligible, MemberSlot after, MemberSlot owner)
{
    MemberSlot first = noMember;
    for (const MemberSlot slot : eligible) {
        if (slot == owner) {
            continue;
        }
        if (slot > after) {
            return slot;
        }
        first = first == noMember ? slot : first;
    }
    return first;
}

} // namespace

void OwnershipLedger::start(const Start &start)
{
    m_map = *start.base;
    m_baseVersion = m_map.version;
    m_map.version = Fence{start.term, 1};
    m_map.sections = start.sections;
    m_map.shards.resize(start.shards + m_map.hotKeys.size());
    m_progress.assign(m_map.shards.size(), Progress());
    m_recovering = true;
    m_renewFences = start.renewFences;
    const MemberSlot baseCoordinator = CoordinatorTerm::slotOf(start.base->version.term);
    for (std::size_t i = 0; i < m_map.shards.size(); ++i) {
        ShardOwnership &entry = m_map.shards[i];
        Progress &progress = m_progress[i];
        progress.freeAt = start.freeAt;
        progress.baseEntry = entry;
        entry.state = State::Unowned;
        entry.next = noMember;
        if (start.selfHolds && progress.baseEntry.state != State::Unowned && progress.baseEntry.owner == start.self) {
            keepHolder(i, start.self);
            continue;
        }
        const bool free = start.baseCoordinatorShardsAreFree && progress.baseEntry.state == State::Owned && progress.baseEntry.owner == baseCoordinator;
        progress.holderUnconfirmed = !free;
    }
}

void OwnershipLedger::confirmHeld(MemberSlot holder, const std::vector<ShardIndex> &held, const Fence &knownVersion)
{
    // The holder may have grants that the base map does not show, and its target may have seen fences above those of the base map.
    const bool baseIsOlder = knownVersion > m_baseVersion;
    bool changed = false;
    for (const ShardIndex shard : held) {
        if (shard.value() >= m_progress.size() || !m_progress[shard.value()].holderUnconfirmed) {
            continue;
        }
        if (!changed) {
            incrementVersion();
            changed = true;
        }
        keepHolder(shard.value(), holder);
        if (baseIsOlder) {
            m_map.shards[shard.value()].fence = m_map.version;
        }
    }
}

void OwnershipLedger::keepHolder(std::size_t shard, MemberSlot holder)
{
    Progress &progress = m_progress[shard];
    ShardOwnership &entry = m_map.shards[shard];
    progress.holderUnconfirmed = false;
    progress.releasingSince = m_map.version;
    if (progress.baseEntry.owner == holder && progress.baseEntry.state != State::Unowned) {
        entry = progress.baseEntry;
    } else {
        entry = ShardOwnership{State::Owned, holder, noMember, m_map.version};
    }
    if (m_renewFences) {
        entry.fence = m_map.version;
    }
}

std::set<MemberSlot> OwnershipLedger::unconfirmedOwners() const
{
    std::set<MemberSlot> owners;
    for (const Progress &progress : m_progress) {
        // A base map created during an earlier recovery may show a shard as unowned although its last owner still holds it.
        if (progress.holderUnconfirmed && progress.baseEntry.owner != noMember) {
            owners.insert(progress.baseEntry.owner);
        }
    }
    return owners;
}

void OwnershipLedger::finishRecovery()
{
    m_recovering = false;
    for (Progress &progress : m_progress) {
        progress.holderUnconfirmed = false;
    }
}

void OwnershipLedger::transfer(MemberSlot from, MemberSlot to, const std::vector<ShardIndex> &held, MonotonicTime now, EffectList &effects)
{
    bool changed = false;
    for (const ShardIndex shard : held) {
        if (shard.value() >= m_map.shards.size()) {
            continue;
        }
        const ShardOwnership &entry = m_map.shards[shard.value()];
        if (entry.state == State::Unowned || entry.owner != from) {
            continue;
        }
        if (!changed) {
            incrementVersion();
            changed = true;
        }
        grant(shard.value(), to, now, effects);
        m_progress[shard.value()].coolUntil = now;
    }
}

void OwnershipLedger::addSections(const std::vector<ShardSection> &sections)
{
    if (sections.empty() || sections == m_map.sections) {
        return;
    }
    incrementVersion();
    m_map.sections = sections;
    m_map.shards.resize(std::size_t(sections.back().first) + sections.back().count);
    m_progress.resize(m_map.shards.size());
}

/** Records an event of the shard. In a cell of several services, which has many shards, one record covers a run of shards with equal owner and fence. */
void OwnershipLedger::recordShard(TimelineRecord::Kind kind, std::size_t shard, EffectList &effects) const
{
    const ShardOwnership &entry = m_map.shards[shard];
    const bool continues = shard > 0 && m_map.shards[shard - 1].owner == entry.owner && m_map.shards[shard - 1].fence == entry.fence;
    if (m_map.sections.empty() || !continues) {
        effects.record(shardRecord(kind, shard, entry));
    }
}

void OwnershipLedger::revokeShards(MemberSlot owner, MonotonicTime freeAt, EffectList &effects)
{
    bool changed = false;
    for (std::size_t i = 0; i < m_map.shards.size(); ++i) {
        ShardOwnership &entry = m_map.shards[i];
        if (entry.state == State::Unowned || entry.owner != owner) {
            continue;
        }
        if (!changed) {
            incrementVersion();
            changed = true;
        }
        recordShard(TimelineRecord::Kind::ShardLost, i, effects);
        entry.state = State::Unowned;
        m_progress[i].freeAt = freeAt;
        m_progress[i].released = false;
    }
}

bool OwnershipLedger::isFree(std::size_t shard, MonotonicTime now) const
{
    return m_map.shards[shard].state == State::Unowned && !m_progress[shard].holderUnconfirmed && now >= m_progress[shard].freeAt;
}

std::vector<ShardIndex> OwnershipLedger::freeShards(MonotonicTime now) const
{
    std::vector<ShardIndex> result;
    for (std::size_t i = 0; i < m_map.shards.size(); ++i) {
        if (isFree(i, now)) {
            result.push_back(ShardIndex(static_cast<std::uint32_t>(i)));
        }
    }
    return result;
}

void OwnershipLedger::apply(const std::vector<PlannedMove> &moves, MonotonicTime now, EffectList &effects)
{
    bool changed = false;
    for (const PlannedMove &move : moves) {
        const std::size_t shard = move.shard.value();
        if (shard >= m_map.shards.size()) {
            continue;
        }
        const ShardOwnership &entry = m_map.shards[shard];
        const bool free = isFree(shard, now) && move.to != noMember;
        const bool starts = entry.state == State::Owned && entry.owner != move.to;
        if (!free && !starts) {
            continue;
        }
        if (!changed) {
            incrementVersion();
            changed = true;
        }
        if (free) {
            grant(shard, move.to, now, effects);
        } else {
            startRelease(shard, move.to, now, effects);
        }
    }
}

void OwnershipLedger::grant(std::size_t shard, MemberSlot to, MonotonicTime now, EffectList &effects)
{
    ShardOwnership &entry = m_map.shards[shard];
    const bool moved = entry.state == State::Releasing;
    entry = ShardOwnership{State::Owned, to, noMember, m_map.version};
    m_progress[shard].released = false;
    // In a cell of several services, a shard that was free has been placed arbitrarily and may move again at once.
    m_progress[shard].coolUntil = m_map.sections.empty() || moved ? now + coolDown : now;
    recordShard(TimelineRecord::Kind::ShardGranted, shard, effects);
}

void OwnershipLedger::startRelease(std::size_t shard, MemberSlot next, MonotonicTime now, EffectList &effects)
{
    ShardOwnership &entry = m_map.shards[shard];
    entry.state = State::Releasing;
    entry.next = next;
    m_progress[shard].releasingSince = m_map.version;
    m_progress[shard].nextChosenAt = now;
    m_progress[shard].released = false;
    recordShard(TimelineRecord::Kind::ShardReleasing, shard, effects);
}

void OwnershipLedger::markReleased(MemberSlot owner, ShardIndex shard, const Fence &fence)
{
    if (shard.value() >= m_map.shards.size()) {
        return;
    }
    const ShardOwnership &entry = m_map.shards[shard.value()];
    if (entry.state == State::Releasing && entry.owner == owner && entry.fence == fence) {
        m_progress[shard.value()].released = true;
    }
}

void OwnershipLedger::grantReleasedShards(const Fence &acknowledged, const Eligible &eligible, MonotonicTime now, EffectList &effects)
{
    bool changed = false;
    for (std::size_t first = 0; first < m_map.shards.size();) {
        const std::size_t end = endOfReleasingSlice(first);
        const auto isReleased = [&](const Progress &progress) { return progress.released && acknowledged >= progress.releasingSince; };
        const auto begin = m_progress.begin() + static_cast<std::ptrdiff_t>(first);
        if (end == first || !std::all_of(begin, begin + static_cast<std::ptrdiff_t>(end - first), isReleased)) {
            first = std::max(end, first + 1);
            continue;
        }
        if (!changed) {
            incrementVersion();
            changed = true;
        }
        // One record covers the whole slice.
        effects.record(shardRecord(TimelineRecord::Kind::ShardReleased, first, m_map.shards[first]));
        for (; first < end; ++first) {
            grantToNextOwner(first, eligible, now, effects);
        }
    }
}

/**
 * Returns the end of the slice of shards that are released together, starting at first; returns first if that shard is not being
 * released. In a cell of several services a slice is granted as a whole, so that it stays one range with one fence.
 */
std::size_t OwnershipLedger::endOfReleasingSlice(std::size_t first) const
{
    const ShardOwnership &entry = m_map.shards[first];
    if (entry.state != State::Releasing) {
        return first;
    }
    std::size_t end = first + 1;
    while (!m_map.sections.empty() && end < m_map.shards.size() && m_map.shards[end].state == State::Releasing && m_map.shards[end].owner == entry.owner
           && m_map.shards[end].next == entry.next && m_progress[end].releasingSince == m_progress[first].releasingSince) {
        ++end;
    }
    return end;
}

/** Grants a released shard to its next owner, or frees it if that member is not eligible. */
void OwnershipLedger::grantToNextOwner(std::size_t shard, const Eligible &eligible, MonotonicTime now, EffectList &effects)
{
    ShardOwnership &entry = m_map.shards[shard];
    if (entry.next != noMember && eligible(entry.next)) {
        grant(shard, entry.next, now, effects);
    } else {
        entry.state = State::Unowned;
        m_progress[shard].freeAt = now;
    }
}

void OwnershipLedger::replaceNextOwners(const std::vector<MemberSlot> &eligible, const ShardSection &section, Duration timeout, MonotonicTime now)
{
    bool changed = false;
    const std::size_t end = std::min<std::size_t>(m_map.shards.size(), std::size_t(section.first) + section.count);
    for (std::size_t i = section.first; i < end; ++i) {
        ShardOwnership &entry = m_map.shards[i];
        if (entry.state != State::Releasing || m_progress[i].released) {
            continue;
        }
        const bool nextIsEligible = std::find(eligible.begin(), eligible.end(), entry.next) != eligible.end();
        if (nextIsEligible && now < m_progress[i].nextChosenAt + timeout) {
            continue;
        }
        const MemberSlot next = followingMember(eligible, entry.next, entry.owner);
        m_progress[i].nextChosenAt = now;
        if (next == entry.next) {
            continue;
        }
        if (!changed) {
            incrementVersion();
            changed = true;
        }
        entry.next = next;
    }
}

bool OwnershipLedger::owns(MemberSlot slot) const
{
    for (const ShardOwnership &entry : m_map.shards) {
        if (entry.state != State::Unowned && entry.owner == slot) {
            return true;
        }
    }
    return false;
}

std::vector<bool> OwnershipLedger::cooling(MonotonicTime now) const
{
    std::vector<bool> result;
    result.reserve(m_progress.size());
    for (const Progress &progress : m_progress) {
        result.push_back(now < progress.coolUntil);
    }
    return result;
}

} // namespace nutmeghinge
