#include "targetsuccession.h"

#include "events.h"

#include <utility>

namespace nutmeghinge {

TargetSuccession::Decision TargetSuccession::decide(const TargetAnnounced &announcement, const Evidence &evidence, MonotonicTime now)
{
    const Sighting seen{{announcement.target, announcement.targetIncarnation}, announcement.sequence, now};
    // Targets that number no heartbeats announce themselves on a connection of their own, in order.
    const bool isOrdered = m_current && seen.sequence > 0 && m_current->sequence > 0;
    Decision decision = Decision::Current;
    if (!m_current || (!isOrdered && seen.instance != m_current->instance)) {
        decision = Decision::Successor;
    } else if (seen.instance != m_current->instance) {
        decision = decideOnOther(seen, evidence, now);
    } else if (isOrdered && seen.sequence <= m_current->sequence) {
        decision = Decision::Stale;
    }
    if (decision == Decision::Current) {
        m_confirmed = true;
    }
    if (decision == Decision::Current || decision == Decision::Successor) {
        m_current = seen;
        m_returning.reset();
    }
    return decision;
}

TargetSuccession::Decision TargetSuccession::decideOnOther(const Sighting &seen, const Evidence &evidence, MonotonicTime now)
{
    const bool isLater = seen.instance.incarnation > m_current->instance.incarnation;
    const bool isSilent = now >= m_current->at + m_silenceLimit;
    // A target that leaves runs on for a while, so an earlier incarnation does not follow it.
    const bool isDue = isSilent || (evidence.leaves && isLater);
    const bool mayReplace = evidence.hasEnded || (!evidence.holdsKeys && isDue);
    if (m_confirmed && !mayReplace) {
        return isLater ? Decision::Unproven : Decision::Stale;
    }
    if (m_confirmed && isLater) {
        return Decision::Successor;
    }
    // One message may be a late one of an incarnation that has ended; a target that runs sends another.
    const std::optional<Sighting> before = std::exchange(m_returning, seen);
    const bool isRepeated = before && before->instance == seen.instance && before->sequence < seen.sequence;
    m_confirmed = m_confirmed || isRepeated;
    return isRepeated ? Decision::Successor : Decision::Unproven;
}

} // namespace nutmeghinge
