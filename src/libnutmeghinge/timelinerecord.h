#pragma once

#include "fence.h"
#include "hybridtime.h"
#include "ids.h"
#include "units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace nutmeghinge {

/** One entry of the timeline. The node's name and incarnation are added when the timeline is served. */
struct TimelineRecord {
    enum class Kind : std::uint8_t {
        NodeStarted,
        StopRequested,
        NodeStopped,
        TargetAnnounced,
        TargetSilent,
        /** Another incarnation of the target announced itself, and nothing shows that the one in use has ended. */
        TargetUnproven,
        /** The target named a limit on its requests, or another one than before. */
        TargetLimitNamed,
        TargetLimitEnded,
        /** The target is about to stop. */
        TargetLeaving,
        /** The target ended without having announced it. Names the requests that it may have been running. */
        TargetCrashed,
        /** A request under which a target had crashed was answered. */
        SuspectCleared,
        /** A request that had been refused because targets crashed under it is no longer remembered. */
        SuspectExpired,
        TermStarted,
        TermEnded,
        /** A candidate got no majority in time. */
        ElectionFailed,
        LeaseGranted,
        LeaseHeld,
        LeaseLapsed,
        ShardGranted,
        ShardReleasing,
        ShardReleased,
        ShardLost,
        /** Forwarded requests were cancelled, to be sent to the new owners of their keys. */
        ForwardsCancelled,
        HandoverSent,
        HandoverReceived,
        MemberAdded,
        MemberRemoved,
        /** A majority knows a change of the members that the coordinator has written. */
        MembersChanged,
        /** The cell has its largest number of members, and others request to join. */
        CellFull,
        RowWritten,
        RowConflict,
        /** The platform can never accept the cell row, for instance because it is too large. */
        RowRefused,
        PlatformDown,
        PlatformUp,
        /** The platform's table came back from an older copy. */
        TableRestored,
        DocumentInForce,
        DocumentRejected,
        HotKeySplit,
        HotKeyMerged,
        RequestArrived,
        RequestForwarded,
        RequestSentToTarget,
        RequestRetried,
        RequestQueued,
        RequestAnswered,
        /** Answered later than the latency objective of its route. */
        RequestAnsweredLate,
        RequestRefused,
        RequestUnknown,
        /** The caller, or the node that forwarded the request, no longer waits for its answer. */
        RequestCancelled,
        DuplicateJoined,
        DuplicateAnswered,
        StaleFence,
        BadInput,
    };

    HybridTime time;
    Kind kind = Kind::NodeStarted;
    std::optional<RequestId> request;
    /** Id that the caller gave the request; empty if none. */
    std::string callerId;
    std::optional<ShardIndex> shard;
    std::optional<MemberSlot> member;
    std::optional<Fence> fence;
    std::optional<DocumentRevision> document;
    /** DocumentInForce: time since the earlier document was last known to be the newest. The document was accepted within this time. */
    std::optional<Duration> longestDelay;
    /** Short human-readable text; never parsed. */
    std::string detail;
};

/** Returns the name of the kind, as shown in the timeline. */
std::string_view nameOf(TimelineRecord::Kind kind);
/** Returns the kind with the given name, or nothing if there is none. */
std::optional<TimelineRecord::Kind> kindOfName(std::string_view name);
/** Returns whether records of the kind are about one request rather than the node or its cell. */
bool isAboutRequest(TimelineRecord::Kind kind);
/** Returns whether the kind marks a request that was refused, has an unknown outcome or was answered late. */
bool isRequestFailure(TimelineRecord::Kind kind);

} // namespace nutmeghinge
