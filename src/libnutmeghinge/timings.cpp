#include "timings.h"

namespace nutmeghinge {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Part of a target lease that covers network delay, in addition to one lost or late heartbeat. */
constexpr Duration targetLeaseMargin = milliseconds(600);
/** Time by which a member lease exceeds a target lease, so that it lasts through a change of coordinator. */
constexpr Duration memberLeaseMargin = milliseconds(900);

} // namespace

Timings Timings::forHeartbeatsOf(Duration targetHeartbeat)
{
    Timings timings;
    timings.maxTargetLease = targetHeartbeat * 5 / 2 + targetLeaseMargin;
    timings.memberLease = timings.maxTargetLease + memberLeaseMargin;
    // After a loss, a key is unavailable for at least the target lease, so faster renewals would gain nothing.
    timings.heartbeat = milliseconds(400);
    timings.voteDuration = milliseconds(1000);
    // An earlier incarnation of the node had a slot of its own, so one vote duration is enough for messages in flight.
    timings.startupVoteDurations = 1;
    timings.voteRenewal = milliseconds(300);
    timings.candidateStagger = milliseconds(150);
    // Target leases lie within the member lease, whose clock also advances while the VM is suspended.
    timings.pauseLimit = hours(24);
    timings.targetTimeout = 2 * targetHeartbeat + seconds(1);
    // The target's answers to requests say more about it than probes, and each probe takes one of its slots.
    timings.targetProbe = Duration(0);
    timings.memberRemoval = seconds(8);
    // The platform kills a process some seconds after the stop request; the callers need the remaining time.
    timings.stopHandoverLimit = milliseconds(2000);
    timings.cellCreationDelay = milliseconds(700);
    timings.searchPoll = milliseconds(500);
    timings.loadsInterval = milliseconds(400);
    timings.followsDocument = true;
    return timings;
}

} // namespace nutmeghinge
