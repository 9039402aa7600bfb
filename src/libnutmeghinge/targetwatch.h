#pragma once

#include "events.h"
#include "timings.h"
#include "units.h"

#include <map>
#include <optional>

namespace nutmeghinge {

class EffectList;
struct OwnershipMap;

/**
 * The target beside this node: its announcements, its probed health, and the
 * grants that it has accepted.
 */
class TargetWatch
{
public:
    explicit TargetWatch(const Timings &timings);

    /** False for an announcement that was sent before one already taken; it changes nothing. */
    bool announced(const TargetAnnounced &announcement, MonotonicTime now, EffectList &effects);
    /** The target of this name ends without another announcement. */
    void leaving(const TargetLeaving &notice, MonotonicTime now);
    void probed(const TargetProbed &result);
    /** Sends the probe when it is due, and records a target that fell silent. */
    void tick(MonotonicTime now, EffectList &effects);

    /** Empty before the first announcement. */
    const std::optional<TargetAnnounced> &latest() const { return m_latest; }
    bool isFresh(MonotonicTime now) const { return m_latest && now < m_announcedAt + m_silence; }
    bool isDraining() const { return m_latest && m_latest->draining; }
    /** Time of the first announcement by which the target asked for no more work. */
    MonotonicTime drainingSince() const { return m_drainingSince; }
    /** Announcements are fresh and probes have not failed repeatedly. */
    bool isHealthy(MonotonicTime now) const;

    /** Sends the target the grants in the map that it has not accepted. */
    void sendGrants(const OwnershipMap &map, MemberSlot self, MonotonicTime now, EffectList &effects);
    void grantFinished(const TargetGrantFinished &result);
    /** The target has accepted the grant with this fence. */
    bool hasGrant(const Fence &fence) const;

private:
    bool isStale(const TargetAnnounced &announcement) const;

    struct Grant {
        bool accepted = false;
        MonotonicTime retryAt;
    };

    Duration m_silence;
    Duration m_probeInterval;
    Duration m_grantRetry;
    std::optional<TargetAnnounced> m_latest;
    MonotonicTime m_announcedAt;
    MonotonicTime m_drainingSince;
    MonotonicTime m_nextProbe;
    std::uint32_t m_failedProbes = 0;
    bool m_silent = false;
    std::map<Fence, Grant> m_grants;
};

} // namespace nutmeghinge
