#include "targetwatch.h"

#include "effectlist.h"
#include "ownershipmap.h"
#include "shardactivity.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

/** Number of consecutive failed probes after which the target counts as unhealthy. */
constexpr std::uint32_t unhealthyProbes = 3;
/** Minimum interval between records of announcements that are not applied. */
constexpr Duration unprovenRecordInterval = std::chrono::seconds(1);

} // namespace

TargetWatch::TargetWatch(const Timings &timings)
    : m_succession(timings.targetTimeout)
    , m_announcementTimeout(timings.targetTimeout)
    , m_probeInterval(timings.targetProbe)
    , m_grantRetry(2 * timings.heartbeat)
{
}

/** Records that an announcement names another incarnation than the one in use. */
void TargetWatch::recordUnproven(const TargetAnnounced &announcement, MonotonicTime now, EffectList &effects)
{
    if (now < m_nextUnprovenRecord) {
        return;
    }
    m_nextUnprovenRecord = now + unprovenRecordInterval;
    TimelineRecord record;
    record.kind = TimelineRecord::Kind::TargetUnproven;
    record.detail = announcement.target.value() + " announces itself, but " + m_latest->target.value() + " has not ended as far as known";
    effects.record(std::move(record));
}

void TargetWatch::recordLeaving(const TargetName &target, const char *source, EffectList &effects)
{
    TimelineRecord record;
    record.kind = TimelineRecord::Kind::TargetLeaving;
    record.detail = target.value() + " leaves, according to " + source;
    effects.record(std::move(record));
}

bool TargetWatch::announced(const TargetAnnounced &announcement, const TargetSuccession::Evidence &evidence, MonotonicTime now, EffectList &effects)
{
    const TargetSuccession::Decision decision = m_succession.decide(announcement, evidence, now);
    if (decision == TargetSuccession::Decision::Unproven) {
        recordUnproven(announcement, now, effects);
    }
    if (decision == TargetSuccession::Decision::Stale || decision == TargetSuccession::Decision::Unproven) {
        // An overtaken message of the target in use still says that it leaves.
        addDeparture(announcement, now, effects);
        return false;
    }
    const bool restarted = decision == TargetSuccession::Decision::Successor;
    if (restarted) {
        m_grants.clear();
        m_failedProbes = 0;
    }
    if (restarted || m_unresponsive) {
        TimelineRecord record;
        record.kind = TimelineRecord::Kind::TargetAnnounced;
        record.detail = announcement.target.value();
        effects.record(std::move(record));
    }
    const bool wasDraining = !restarted && m_latest->draining;
    m_unresponsive = false;
    m_latest = announcement;
    m_latest->draining = wasDraining;
    m_announcedAt = now;
    // An earlier process of the node may have known the departure for long.
    applyDepartures(MonotonicTime());
    addDeparture(announcement, now, effects);
    return true;
}

/** Records the departure that an announcement of the target in use states, if it does. */
void TargetWatch::addDeparture(const TargetAnnounced &announcement, MonotonicTime now, EffectList &effects)
{
    const TargetInstance announced{announcement.target, announcement.targetIncarnation};
    if (announcement.draining && isInUse(announced) && m_departures.add(announced)) {
        recordLeaving(announcement.target, "heartbeat", effects);
        applyDepartures(now);
    }
}

void TargetWatch::applyDepartures(MonotonicTime since)
{
    if (m_latest && !m_latest->draining && m_departures.covers({m_latest->target, m_latest->targetIncarnation})) {
        m_latest->draining = true;
        m_drainingSince = since;
    }
}

std::optional<TargetInstance> TargetWatch::leaving(const TargetLeaving &notice, MonotonicTime now, EffectList &effects)
{
    const bool isNameInUse = m_latest && m_latest->target == notice.target;
    const std::uint64_t newest = isNameInUse ? m_latest->targetIncarnation : notice.newestIncarnation;
    const TargetInstance departed{notice.target, notice.targetIncarnation.value_or(newest)};
    if (isConfirmed() && !isInUse(departed) && !m_departures.covers(departed)) {
        return std::nullopt;
    }
    if (m_departures.add(departed)) {
        recordLeaving(notice.target, "its notice of leaving", effects);
    }
    applyDepartures(now);
    return departed;
}

void TargetWatch::addDepartures(const std::vector<TargetInstance> &departed)
{
    for (const TargetInstance &target : departed) {
        m_departures.add(target);
    }
    applyDepartures(MonotonicTime());
}

bool TargetWatch::statedLeaving(const TargetStated &stated, MonotonicTime now, EffectList &effects)
{
    if (!isInUse(stated.target)) {
        return false;
    }
    const MonotonicTime since = now - stated.leavingFor;
    if (m_latest->draining) {
        m_drainingSince = std::min(m_drainingSince, since);
        return false;
    }
    m_departures.add(stated.target);
    applyDepartures(since);
    recordLeaving(m_latest->target, stated.source == TargetStated::Source::Answer ? "its answer" : "another node", effects);
    return true;
}

void TargetWatch::probed(const TargetProbed &result)
{
    m_failedProbes = result.healthy ? 0 : m_failedProbes + 1;
}

void TargetWatch::tick(MonotonicTime now, ShardActivity &activity, EffectList &effects)
{
    if (!m_latest) {
        return;
    }
    if (!m_unresponsive && !isFresh(now)) {
        m_unresponsive = true;
        TimelineRecord record;
        record.kind = TimelineRecord::Kind::TargetSilent;
        record.detail = m_latest->target.value();
        effects.record(std::move(record));
    }
    if (m_probeInterval > Duration::zero() && now >= m_nextProbe && activity.takeProbe(now)) {
        m_nextProbe = now + m_probeInterval;
        effects.add(ProbeTarget{m_latest->endpoint});
    }
}

bool TargetWatch::isHealthy(MonotonicTime now) const
{
    return isFresh(now) && m_failedProbes < unhealthyProbes;
}

void TargetWatch::sendGrants(const OwnershipMap &map, MemberSlot self, MonotonicTime now, EffectList &effects)
{
    if (!m_latest) {
        return;
    }
    std::map<Fence, std::vector<ShardIndex>> owned;
    for (std::uint32_t i = 0; i < map.shards.size(); ++i) {
        const ShardOwnership &shard = map.shards[i];
        if (shard.state == ShardOwnership::State::Owned && shard.owner == self) {
            owned[shard.fence].push_back(ShardIndex(i));
        }
    }
    std::erase_if(m_grants, [&](const auto &grant) { return !owned.contains(grant.first); });
    for (auto &[fence, shards] : owned) {
        Grant &grant = m_grants[fence];
        if (grant.accepted || now < grant.retryAt) {
            continue;
        }
        grant.retryAt = now + m_grantRetry;
        effects.add(GrantToTarget{m_latest->endpoint, fence, std::move(shards)});
    }
}

void TargetWatch::grantFinished(const TargetGrantFinished &result)
{
    const auto grant = m_grants.find(result.fence);
    if (grant != m_grants.end() && result.accepted) {
        grant->second.accepted = true;
    }
}

bool TargetWatch::hasGrant(const Fence &fence) const
{
    const auto grant = m_grants.find(fence);
    return grant != m_grants.end() && grant->second.accepted;
}

} // namespace nutmeghinge
