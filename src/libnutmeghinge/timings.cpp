#include "timings.h"

namespace nutmeghinge {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** A hold outlives one heartbeat that is lost or late, and this much more for the way. */
constexpr Duration holdMargin = milliseconds(600);
/** A lease outlives a change of coordinator by this, beyond the hold inside it. */
constexpr Duration leaseMargin = milliseconds(900);

} // namespace

Timings Timings::forHeartbeatsOf(Duration targetHeartbeat)
{
    Timings timings;
    timings.targetHold = targetHeartbeat * 5 / 2 + holdMargin;
    timings.memberLease = timings.targetHold + leaseMargin;
    // A key's gap after a loss is at least the hold: renewing faster would gain nothing.
    timings.heartbeat = milliseconds(400);
    timings.promise = milliseconds(1000);
    // An earlier run of the node had a slot of its own; one promise covers what is on its way.
    timings.quietPromises = 1;
    timings.promiseRenewal = milliseconds(300);
    timings.candidateStagger = milliseconds(150);
    // Holds lie inside the lease, which is counted on a clock that also runs while the VM sleeps.
    timings.pauseLimit = hours(24);
    timings.targetSilence = 2 * targetHeartbeat + seconds(1);
    // The target's own answers tell more of it, and each probe takes one of its slots.
    timings.targetProbe = Duration(0);
    timings.memberRemoval = seconds(8);
    // Platforms end a process some seconds after they asked it to stop; its callers need the rest of them.
    timings.stopPatience = milliseconds(2000);
    timings.foundingDelay = milliseconds(700);
    timings.searchPoll = milliseconds(500);
    timings.loadsInterval = milliseconds(400);
    timings.followsDocument = true;
    return timings;
}

} // namespace nutmeghinge
