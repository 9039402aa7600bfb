#pragma once

#include "units.h"

namespace nutmeghinge {

/** Intervals of the ownership protocol. Each node of a cell must use the same. */
struct Timings {
    /** Between two heartbeats of a member. */
    Duration heartbeat{std::chrono::milliseconds(160)};
    /** Lease of a member, counted from when it sent the heartbeat. */
    Duration memberLease{std::chrono::milliseconds(500)};
    /** Promise of a member to follow a coordinator, counted by the coordinator from when it asked. */
    Duration promise{std::chrono::milliseconds(250)};
    /** Lengths of a promise for which a node that has started gives none; an earlier run of it may have given one. */
    int quietPromises = 2;
    /** Between two renewals of the promises. */
    Duration promiseRenewal{std::chrono::milliseconds(80)};
    /** Delay of each further candidate before it asks for a term. */
    Duration candidateStagger{std::chrono::milliseconds(40)};
    /** Longer than this between two turns of the loop: the node was paused, and its lease counts as lapsed. */
    Duration pauseLimit{std::chrono::milliseconds(200)};
    /** Parts in 1000 by which two monotonic clocks may run apart. */
    std::int64_t driftPerMille = 20;
    /** Between two reads of the member rows and the document by a coordinator. */
    Duration tablePoll{std::chrono::seconds(1)};
    /** Between two reads of the table by a node that is no member. */
    Duration searchPoll{std::chrono::seconds(1)};
    /** Between two messages with the loads of all members to one of them. */
    Duration loadsInterval{std::chrono::seconds(1)};
    /** Between two writes of the cell's row, unless members change. */
    Duration rowWriteInterval{std::chrono::seconds(1)};
    /** Without an announcement for this long the target counts as silent. */
    Duration targetSilence{std::chrono::seconds(3)};
    /** Between two probes of the target's health and load; zero sends none. */
    Duration targetProbe{std::chrono::seconds(1)};
    /** Between two reads of the cells of other services. */
    Duration directoryPoll{std::chrono::seconds(10)};

    /** Without a heartbeat for this long a member is taken from the list. */
    Duration memberRemoval{std::chrono::seconds(30)};
    /** Time after its start that a node waits for the others to announce themselves before it founds a cell; zero founds alone. */
    Duration foundingDelay{0};

    /** Longest time after a stop was asked for that a node waits for its shards to be handed over before it closes its listeners; zero: as long as it takes. */
    Duration stopPatience{0};
    /** Time after a stop was asked for at which the platform ends the process; zero: it waits as long as it takes. */
    Duration stopLimit{0};

    /** Without a release for this long a moving shard gets another next owner. */
    Duration moveRetarget{std::chrono::seconds(5)};

    /** Hold that the answer to a target's heartbeat grants at the most; zero: the document's alone. */
    Duration targetHold{0};
    /** The node follows the document's changes by a call that waits for them. */
    bool followsDocument = false;

    /**
     * Timings of a cell whose targets hold their keys by the answers to heartbeats
     * that come at this interval.
     */
    static Timings forHeartbeatsOf(Duration targetHeartbeat);

    /** The duration, lengthened by the clocks' drift. */
    Duration withDrift(Duration duration) const { return duration + duration * driftPerMille / 1000; }
};

} // namespace nutmeghinge
