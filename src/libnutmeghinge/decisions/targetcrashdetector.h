#pragma once

#include "events.h"
#include "requestidentity.h"

#include <utility>
#include <vector>

namespace nutmeghinge {

/** An attempt at the target that ended because its connection broke. */
struct LostAttempt {
    RequestId request;
    RequestIdentity identity;
    /** Incarnation of the target that the attempt was sent to. */
    TargetInstance target;
    AttemptUnknown result;
    MonotonicTime lostAt;
};

/**
 * Finds out whether the target beside this node has crashed. A connection that
 * breaks is not enough. The target has crashed if it does not leave, one of its
 * connections broke, and either nothing listens at its endpoint any more, or it
 * announces another incarnation within a few seconds.
 */
class TargetCrashDetector
{
public:
    /** Records a lost attempt. Returns whether the target's endpoint must be checked now. */
    bool attemptLost(LostAttempt lost);
    /** Returns whether the result of a check is outstanding. */
    bool isChecking() const { return m_checking; }
    /** Returns whether this incarnation of the target is known to have crashed. */
    bool hasCrashed(const TargetInstance &target) const { return m_crashed && *m_crashed == target; }
    /** Records the name under which the process at the target's endpoint has answered; empty if it gave none. */
    void answered(const TargetInstance &target, const TargetName &by);
    /** Returns whether the named target has answered at the endpoint of this incarnation, which has thus ended. */
    bool isReplaced(const TargetInstance &target, const TargetName &by) const { return m_replaced && *m_replaced == target && m_replacedBy == by; }
    /** Applies the result of the check. Returns whether it shows a crash that was not known. */
    bool checked(const TargetChecked &result);
    /** Applies an announcement of the target that was beside the node before. Returns whether it shows a crash that was not known. */
    bool replaced(const TargetInstance &former, MonotonicTime now);
    /** Returns the lost attempts whose results wait for the check that has ended. */
    std::vector<LostAttempt> takeHeld() { return std::exchange(m_held, {}); }
    /** Returns the lost attempts of the incarnation, which it may have been running when it crashed. */
    std::vector<LostAttempt> lostAttempts(const TargetInstance &target) const;

private:
    bool m_checking = false;
    std::optional<TargetInstance> m_crashed;
    /** Incarnation at whose endpoint another target has answered last, and that target. */
    std::optional<TargetInstance> m_replaced;
    TargetName m_replacedBy;
    /** Latest lost attempts, oldest first. */
    std::vector<LostAttempt> m_lost;
    /** Lost attempts since the check in progress began. */
    std::vector<LostAttempt> m_held;
};

} // namespace nutmeghinge
