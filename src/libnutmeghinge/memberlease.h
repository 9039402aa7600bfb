#pragma once

#include "ids.h"
#include "units.h"

namespace nutmeghinge {

/**
 * This node's lease as a member, counted from when it sent the heartbeat that
 * the coordinator answered.
 */
class MemberLease
{
public:
    /** An answer granted a lease of this length to the heartbeat sent at the given time. */
    void extend(MonotonicTime sentAt, Duration length);
    /** The node was paused: the lease counts as lapsed, and answers to earlier heartbeats grant nothing. */
    void lapse(MonotonicTime now);
    bool isValid(MonotonicTime now) const { return now < m_end; }
    MonotonicTime end() const { return m_end; }

private:
    MonotonicTime m_end;
    MonotonicTime m_ignoreSentBefore;
};

} // namespace nutmeghinge
