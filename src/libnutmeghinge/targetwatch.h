#pragma once

#include "events.h"
#include "targetdepartures.h"
#include "targetsuccession.h"
#include "timings.h"
#include "units.h"

#include <map>
#include <optional>

namespace nutmeghinge {

class EffectList;
class ShardActivity;
struct OwnershipMap;

/**
 * Tracks the target beside this node: its announcements, the results of health
 * probes, and the grants that it has accepted. Owned by the CellContext.
 */
class TargetWatch
{
public:
    explicit TargetWatch(const Timings &timings);

    /** Applies an announcement. Returns false, and ignores it, if it is not from the incarnation in use or was overtaken by a later one. */
    bool announced(const TargetAnnounced &announcement, const TargetSuccession::Evidence &evidence, MonotonicTime now, EffectList &effects);
    /**
     * Records that the target which the notice names leaves: it ends without another announcement. Returns the incarnation that
     * leaves; empty if another one is in use, so that the notice may be from another writer.
     */
    std::optional<TargetInstance> leaving(const TargetLeaving &notice, MonotonicTime now, EffectList &effects);
    /** Adds departures that an earlier process of the node recorded. */
    void addDepartures(const std::vector<TargetInstance> &departed);
    /** Returns the targets beside this node that have said that they leave. */
    const TargetDepartures &departures() const { return m_departures; }
    /**
     * Marks the target as draining, from when it was first known to leave, if the statement is about its present incarnation. Returns
     * whether that was not known before.
     */
    bool statedLeaving(const TargetStated &stated, MonotonicTime now, EffectList &effects);
    /** Counts failed probes; a successful one resets the count. */
    void probed(const TargetProbed &result);
    /** Sends a probe when one is due and the target's limit allows it, and records when the target becomes unresponsive. */
    void tick(MonotonicTime now, ShardActivity &activity, EffectList &effects);

    /** Returns whether this incarnation is the one in use. */
    bool isInUse(const TargetInstance &target) const { return m_latest && TargetInstance{m_latest->target, m_latest->targetIncarnation} == target; }
    /** Returns the latest announcement; empty before the first. */
    const std::optional<TargetAnnounced> &latest() const { return m_latest; }
    /** Returns whether the target is known to run, because it has announced itself to this process more than once. */
    bool isConfirmed() const { return m_succession.isConfirmed(); }
    /** Returns when the latest announcement arrived. */
    MonotonicTime announcedAt() const { return m_announcedAt; }
    /** Returns whether the latest announcement arrived within the timeout. */
    bool isFresh(MonotonicTime now) const { return m_latest && now < m_announcedAt + m_announcementTimeout; }
    /** Returns whether the target is draining: it is about to stop and wants no new requests. Ends only with its incarnation. */
    bool isDraining() const { return m_latest && m_latest->draining; }
    /** Returns the time at which this node learned that the target is draining. */
    MonotonicTime drainingSince() const { return m_drainingSince; }
    /** Returns whether the target announces itself in time and its probes do not fail repeatedly. */
    bool isHealthy(MonotonicTime now) const;

    /** Sends the target those grants of the map that it has not accepted yet. */
    void sendGrants(const OwnershipMap &map, MemberSlot self, MonotonicTime now, EffectList &effects);
    /** Records whether the target accepted a grant. */
    void grantFinished(const TargetGrantFinished &result);
    /** Returns whether the target has accepted the grant with this fence. */
    bool hasGrant(const Fence &fence) const;

private:
    static void recordLeaving(const TargetName &target, const char *source, EffectList &effects);
    void addDeparture(const TargetAnnounced &announcement, MonotonicTime now, EffectList &effects);
    /** Marks the target in use as draining since the given time if its departure is known. */
    void applyDepartures(MonotonicTime since);
    void recordUnproven(const TargetAnnounced &announcement, MonotonicTime now, EffectList &effects);

    struct Grant {
        bool accepted = false;
        MonotonicTime retryAt;
    };

    TargetSuccession m_succession;
    TargetDepartures m_departures;
    Duration m_announcementTimeout;
    Duration m_probeInterval;
    Duration m_grantRetry;
    std::optional<TargetAnnounced> m_latest;
    MonotonicTime m_announcedAt;
    MonotonicTime m_drainingSince;
    MonotonicTime m_nextProbe;
    MonotonicTime m_nextUnprovenRecord;
    std::uint32_t m_failedProbes = 0;
    bool m_unresponsive = false;
    std::map<Fence, Grant> m_grants;
};

} // namespace nutmeghinge
