#include "shardhandover.h"

#include "cellcontext.h"
#include "effectlist.h"
#include "shardactivity.h"

namespace nutmeghinge {

namespace {

using State = ShardOwnership::State;

TimelineRecord handoverRecord(TimelineRecord::Kind kind, ShardIndex shard, MemberSlot other, const Fence &fence)
{
    TimelineRecord record;
    record.kind = kind;
    record.shard = shard;
    record.member = other;
    record.fence = fence;
    return record;
}

} // namespace

ShardHandover::ShardHandover(CellContext &context)
    : m_context(context)
{
}

void ShardHandover::tick(MonotonicTime now, EffectList &effects)
{
    std::map<ShardIndex, Release> kept;
    const OwnershipMap &map = m_context.map;
    for (std::uint32_t i = 0; i < map.shards.size(); ++i) {
        const ShardOwnership &entry = map.shards[i];
        if (entry.state != State::Releasing || entry.owner != m_context.self) {
            continue;
        }
        const ShardIndex shard(i);
        Release &release = kept[shard];
        const auto previous = m_releases.find(shard);
        if (previous != m_releases.end() && previous->second.fence == entry.fence) {
            release = previous->second;
        }
        if (release.next != entry.next) {
            release.offerAt = now;
        }
        release.fence = entry.fence;
        release.next = entry.next;
        offerOrFinish(shard, release, now, effects);
    }
    m_releases = std::move(kept);
}

void ShardHandover::offerOrFinish(ShardIndex shard, Release &release, MonotonicTime now, EffectList &effects)
{
    const bool busy = m_context.usesTargetLeases() ? !m_context.targetLeases.isFree(shard, now) : m_context.activity.blockingRequests(shard) > 0;
    if (release.released || busy) {
        return;
    }
    if (release.next == noMember) {
        finish(shard, release, effects);
        return;
    }
    if (now < release.offerAt) {
        return;
    }
    release.offerAt = now + m_context.timings.heartbeat;
    m_context.send(release.next,
                   HandoverOffer{shard, release.fence, m_context.activity.exportDeduplication(shard, now), m_context.targetLeases.handoverTokenOf(shard)},
                   effects);
}

void ShardHandover::offered(MemberSlot from, const HandoverOffer &offer, MonotonicTime now, EffectList &effects)
{
    const auto imported = m_imported.find(offer.shard);
    if (imported == m_imported.end() || imported->second < offer.fence) {
        m_imported[offer.shard] = offer.fence;
        m_context.activity.importDeduplication(offer.entries, now);
        m_context.targetLeases.setHandoverToken(offer.shard, offer.token);
        const auto before = m_imported.find(ShardIndex(offer.shard.value() - 1));
        if (before == m_imported.end() || before->second != offer.fence) {
            effects.record(handoverRecord(TimelineRecord::Kind::HandoverReceived, offer.shard, from, offer.fence));
        }
    }
    m_context.send(from, HandoverAccepted{offer.shard, offer.fence}, effects);
}

void ShardHandover::accepted(MemberSlot from, const HandoverAccepted &answer, EffectList &effects)
{
    const auto release = m_releases.find(answer.shard);
    if (release == m_releases.end() || release->second.fence != answer.fence || release->second.next != from || release->second.released) {
        return;
    }
    finish(answer.shard, release->second, effects);
}

void ShardHandover::finish(ShardIndex shard, Release &release, EffectList &effects)
{
    release.released = true;
    // One record covers a run of shards with the same fence and next owner.
    const auto before = m_releases.find(ShardIndex(shard.value() - 1));
    if (before != m_releases.end() && before->second.released && before->second.fence == release.fence && before->second.next == release.next) {
        return;
    }
    effects.record(handoverRecord(TimelineRecord::Kind::HandoverSent, shard, release.next, release.fence));
}

std::vector<std::pair<ShardIndex, Fence>> ShardHandover::released() const
{
    std::vector<std::pair<ShardIndex, Fence>> result;
    for (const auto &[shard, release] : m_releases) {
        if (release.released) {
            result.emplace_back(shard, release.fence);
        }
    }
    return result;
}

std::vector<ShardIndex> ShardHandover::held() const
{
    std::vector<ShardIndex> result;
    const OwnershipMap &map = m_context.map;
    for (std::uint32_t i = 0; i < map.shards.size(); ++i) {
        const ShardOwnership &entry = map.shards[i];
        if (entry.state != State::Unowned && entry.owner == m_context.self && !isReleased(ShardIndex(i))) {
            result.push_back(ShardIndex(i));
        }
    }
    return result;
}

bool ShardHandover::isReleased(ShardIndex shard) const
{
    const auto release = m_releases.find(shard);
    return release != m_releases.end() && release->second.released && release->second.fence == m_context.map.shards[shard.value()].fence;
}

} // namespace nutmeghinge
