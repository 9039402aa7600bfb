#pragma once

#include "ids.h"
#include "units.h"

namespace nutmeghinge {

/**
 * This node's lease as a member. It counts from when this node sent the
 * heartbeat that the coordinator answered.
 */
class MemberLease
{
public:
    /** Extends the lease as granted by the answer to the heartbeat sent at the given time. */
    void extend(MonotonicTime sentAt, Duration length);
    /** Ends the lease. Answers to heartbeats sent before now no longer extend it. */
    void expire(MonotonicTime now);
    bool isValid(MonotonicTime now) const { return now < m_end; }
    MonotonicTime end() const { return m_end; }

private:
    MonotonicTime m_end;
    MonotonicTime m_ignoreSentBefore;
};

} // namespace nutmeghinge
