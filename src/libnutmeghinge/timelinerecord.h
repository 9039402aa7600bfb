#pragma once

#include "fence.h"
#include "ids.h"
#include "units.h"

#include <cstdint>
#include <optional>
#include <string>

namespace nutmeghinge {

/** Hybrid logical clock: orders records of all nodes by cause, close to the time of day. */
struct HybridTime {
    WallTime wall;
    std::uint32_t counter = 0;

    friend constexpr auto operator<=>(const HybridTime &, const HybridTime &) = default;
    friend constexpr bool operator==(const HybridTime &, const HybridTime &) = default;
};

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
    std::optional<ShardIndex> shard;
    std::optional<MemberSlot> member;
    std::optional<Fence> fence;
    std::optional<DocumentRevision> document;
    /** Short text for people; never parsed. */
    std::string detail;
};

} // namespace nutmeghinge
