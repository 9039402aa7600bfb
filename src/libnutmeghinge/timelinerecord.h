#pragma once

#include "fence.h"
#include "hybridtime.h"
#include "ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace nutmeghinge {

/** One entry of the time line. The node's name and incarnation are added where the ring is served. */
struct TimelineRecord {
    enum class Kind : std::uint8_t {
        NodeStarted,
        StopRequested,
        NodeStopped,
        TargetAnnounced,
        TargetSilent,
        TermStarted,
        TermEnded,
        LeaseGranted,
        LeaseHeld,
        LeaseLapsed,
        ShardGranted,
        ShardReleasing,
        ShardReleased,
        ShardLost,
        HandoverSent,
        HandoverReceived,
        MemberAdded,
        MemberRemoved,
        RowWritten,
        RowConflict,
        PlatformDown,
        PlatformUp,
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
        /** Answered after the objective of its route. */
        RequestAnsweredLate,
        RequestRefused,
        RequestUnknown,
        DuplicateJoined,
        DuplicateAnswered,
        StaleFence,
        BadInput,
    };

    HybridTime time;
    Kind kind = Kind::NodeStarted;
    std::optional<RequestId> request;
    /** Id that the caller gave the request; empty where it gave none. */
    std::string callerId;
    std::optional<ShardIndex> shard;
    std::optional<MemberSlot> member;
    std::optional<Fence> fence;
    std::optional<DocumentRevision> document;
    /** Short text for people; never parsed. */
    std::string detail;
};

/** Name of the kind, as the time line shows it. */
std::string_view nameOf(TimelineRecord::Kind kind);
/** Nothing where no kind has the name. */
std::optional<TimelineRecord::Kind> kindOfName(std::string_view name);
/** The kind tells of one request, and not of the node or its cell. */
bool isAboutRequest(TimelineRecord::Kind kind);
/** The kind ends a request otherwise than its caller hoped: refused, unknown or late. */
bool endsBadly(TimelineRecord::Kind kind);

} // namespace nutmeghinge
