#pragma once

#include "fence.h"
#include "units.h"

#include <cstdint>

namespace nutmeghinge {

/** Intervals and durations of the ownership protocol. All nodes of a cell must use the same values. */
struct Timings {
    /** Interval between heartbeats of a member. */
    Duration heartbeat{std::chrono::milliseconds(160)};
    /** Duration of a member lease, counted from when the member sent the heartbeat. */
    Duration memberLease{std::chrono::milliseconds(500)};
    /** Duration of a member's vote for a coordinator. The coordinator counts it from when it sent the request. */
    Duration voteDuration{std::chrono::milliseconds(250)};
    /** Number of vote durations after its start for which a node grants no vote, since its earlier incarnation may have granted one. */
    int startupVoteDurations = 2;
    /** Interval between renewals of the votes. */
    Duration voteRenewal{std::chrono::milliseconds(80)};
    /** Additional delay of each further candidate before it starts an election. */
    Duration candidateStagger{std::chrono::milliseconds(40)};
    /** If two iterations of the event loop are further apart, the node is considered to have been paused and its lease to have expired. */
    Duration pauseLimit{std::chrono::milliseconds(200)};
    /** Maximum drift between two monotonic clocks, in parts per 1000. */
    std::int64_t driftPerMille = 20;
    /** Interval between a coordinator's reads of the member rows and the document. */
    Duration tablePoll{std::chrono::seconds(1)};
    /** Interval between reads of the table by a node that is not a member of a cell. */
    Duration searchPoll{std::chrono::seconds(1)};
    /** Minimum interval between messages that send the loads of all members to a member. */
    Duration loadsInterval{std::chrono::seconds(1)};
    /** Minimum interval between writes of the cell row, unless members change. */
    Duration rowWriteInterval{std::chrono::seconds(1)};
    /** A target is unresponsive if it sends no announcement for this long. */
    Duration targetTimeout{std::chrono::seconds(3)};
    /** Interval between probes of the target's health and load; zero disables them. */
    Duration targetProbe{std::chrono::seconds(1)};
    /** Interval between reads of the cells of other services. */
    Duration directoryPoll{std::chrono::seconds(10)};

    /** A member is removed if no heartbeat arrives from it for this long. */
    Duration memberRemoval{std::chrono::seconds(30)};
    /** Time after its start for which a node waits for other nodes to announce themselves before it creates a cell. If zero, it creates the cell alone. */
    Duration cellCreationDelay{0};

    /** Maximum time after a stop request for which a node waits for the handover of its shards before it closes its listeners; zero: no limit. */
    Duration stopHandoverLimit{0};
    /** Time after a stop request at which the platform kills the process; zero: never. */
    Duration stopLimit{0};

    /** A shard that is being moved gets another next owner if it is not released for this long. */
    Duration moveRetarget{std::chrono::seconds(5)};

    /** Number of versions of the ownership map after which a coordinator begins a new term. */
    std::uint64_t mapVersionsPerTerm = Fence::sequencesPerTerm / 2;

    /** Maximum duration of the target lease granted by an answer to a target's heartbeat; zero: only the document limits it. */
    Duration maxTargetLease{0};
    /** Whether the node learns of document changes from a long-polling call instead of periodic reads. */
    bool followsDocument = false;

    /**
     * Timings of a cell that grants target leases with the answers to the targets'
     * heartbeats, which arrive at the given interval.
     */
    static Timings forHeartbeatsOf(Duration targetHeartbeat);

    /** Returns the duration, extended by the maximum clock drift. */
    Duration withDrift(Duration duration) const { return duration + duration * driftPerMille / 1000; }
};

} // namespace nutmeghinge
