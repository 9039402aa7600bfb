#pragma once

#include "cellrow.h"
#include "endpoint.h"
#include "events.h"
#include "fence.h"
#include "hybridtime.h"
#include "ids.h"
#include "memberrow.h"
#include "notrunreason.h"
#include "outcome.h"
#include "peermessages.h"
#include "storedanswer.h"
#include "targetlease.h"
#include "targetstatement.h"
#include "timelinerecord.h"
#include "units.h"
#include "unknowncause.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/**
 * Outputs of the reducer: actions that it requests from the adapters.
 */
namespace nutmeghinge {

// Platform. Adapters run each of these once and report its result with one event.

/** Reads the cell row of a service. */
struct ReadCellRow {
    ServiceName service;
};

/** Writes a cell row if it has the expected version. */
struct WriteCellRow {
    /** Version that the row must have for the write to succeed; 0: the row must not exist. */
    RowVersion expected;
    CellRow row;
    /** Epoch of the table that the version belongs to. In another epoch the write fails or has no effect. */
    TableEpoch epoch{};
};

/** Reads the member rows of a service. */
struct ReadMemberRows {
    ServiceName service;
};

/** Writes this node's own member row if it has the expected version. */
struct WriteMemberRow {
    ServiceName service;
    MemberRow row;
    /** Version that the row must have for the write to succeed; 0: the row must not exist. */
    RowVersion expected;
};

/**
 * Reads the accepted revision of a service's document and its text. Replaces an outstanding ReadDocument or FollowDocument, which
 * has no result then; the connections that were open at that time are not used for it, since they may have fallen silent.
 */
struct ReadDocument {
    ServiceName service;
    /** Revision already known to the node. If the accepted revision is not higher, DocumentRead has an empty text. */
    DocumentRevision known;
};

/**
 * Waits for a change of the accepted document after a version of the table.
 * The result is DocumentFollowed. Replaces an outstanding call like ReadDocument.
 */
struct FollowDocument {
    ServiceName service;
    /** Version of the table up to which all changes are known. */
    RowVersion after;
    /** Longest time to wait for a change. */
    Duration wait{0};
    /** Time after which the call has failed, the waiting included. */
    Duration timeLimit{0};
};

/** Reads the cell rows of all services. */
struct ReadCells {
};

// Peers.

/** Sends a control message to another node. */
struct SendPeerMessage {
    Endpoint to;
    MemberSlot from;
    ServiceName service;
    PeerMessage message;
    /** Sender's clock; set by the reducer. */
    HybridTime time{};
};

// Target.

/** Queries the health and load of the target. */
struct ProbeTarget {
    Endpoint endpoint;
};

/** Finds out whether a process still listens at the target's endpoint. */
struct CheckTarget {
    Endpoint endpoint;
    TargetInstance target;
};

/** Sends the target the complete list of shards that it owns from now on. */
struct GrantToTarget {
    Endpoint endpoint;
    Fence fence;
    std::vector<ShardIndex> shards;
};

/** Answers an announcement or a notice of the target. */
struct AnswerTarget {
    enum class Status : std::uint8_t {
        Acknowledged,
        /** It names no target to use. */
        Refused,
        /** That the target leaves could not be recorded, so a later process of the node may not know it. The target calls again. */
        NotRecorded,
    };

    std::uint64_t announcement = 0;
    /** Keys granted to the target; if empty, the target lease is not renewed. */
    std::optional<TargetLeaseGrant> grant{};
    Status status = Status::Acknowledged;
};

// Requests.

/** Sends a request to the target beside this node. */
struct SendToTarget {
    RequestId request;
    AttemptId attempt;
    Endpoint endpoint;
    ShardIndex shard;
    Fence fence;
    /** Time at which the attempt ends with AttemptUnknown. */
    MonotonicTime deadline;
    /** Time at which the target is to stop working and to answer, as it is told; if not before the deadline, it is told the deadline. */
    MonotonicTime workEnd = MonotonicTime::max();
    /** True if a target's answer that this time is over ends the attempt as AttemptUnknown, since the request may be sent to another one. */
    bool retriesExpiredWork = false;
    /** True if the deadline applies only to the head of the answer; the body may take longer as long as it makes progress. */
    bool deadlineForHeadOnly = false;
    /** True if the other side may send nothing until the deadline, because the request may wait there for a slot. */
    bool mayBeIdle = false;
    /** Intended target; a different target at the same address must refuse the request. */
    TargetInstance target;
    /** Buffer the answer until it is complete and return it in AttemptAnswered, if it fits the size limit. */
    bool keepAnswer = false;
    /** Open a new connection for this attempt. */
    bool freshConnection = false;
};

/** Sends a request to another node's peer listener. */
struct ForwardRequest {
    RequestId request;
    AttemptId attempt;
    Endpoint peer;
    MonotonicTime deadline;
    /** Time by which the caller may have left before the deadline. */
    Duration waited{0};
    std::uint32_t hops = 0;
    /** Member that received the request from its caller; noMember if it is in another cell, or not a member yet. */
    MemberSlot entry = noMember;
    /** Time until that node breaks the request off, if it stops. */
    std::optional<Duration> entryEndsIn{};
    /** The same as a time of this node's clock. */
    std::optional<WallTime> entryEndsAt{};
    bool deadlineForHeadOnly = false;
    bool mayBeIdle = false;
    /** Set if the sender's document has routes. */
    std::optional<RoutedRequest> routed;
    bool freshConnection = false;
    /** What this node knows of the target beside the peer, if anything. */
    std::optional<RelayedStatement> relayed{};
    /** Sender's clock; set by the reducer. */
    HybridTime time{};
};

/** Cancels an attempt; AttemptFinished follows. */
struct CancelAttempt {
    AttemptId attempt;
};

/** Ends a request with an error answer from the node itself. */
struct RefuseRequest {
    RequestId request;
    std::uint16_t status = 503;
    Outcome outcome = Outcome::NotRun;
    /** Reason why the request did not run; sent only to peers, which handle the reasons differently. */
    NotRunReason reason = NotRunReason::Overloaded;
    /** Value of the Retry-After header; zero omits the header. */
    Duration retryAfter{0};
    std::string detail;
    /** Target that crashed while it may have been running the request; sent only to peers. */
    std::optional<TargetRun> crashedTarget{};
    /** The target ended its work because the time that it was given was over; sent only to peers. */
    bool workTimeExpired = false;
    /** Why the outcome is unknown; sent only to peers. */
    std::optional<UnknownCause> unknownCause{};
};

/** Answers with the stored answer to an earlier request that had the same idempotency key. */
struct AnswerFromStore {
    RequestId request;
    StoredAnswer answer;
};

// The node itself.

/** Adds a record to the timeline. */
struct Record {
    TimelineRecord record;
};

/** Announces the close of its connection with each answer to a caller from now on. New connections are still accepted. */
struct AnnounceClose {
};

/** Stops accepting a listener's connections; existing ones close after their running answers. ConnectionsClosed reports the end. */
struct CloseListener {
    ListenerKind listener = ListenerKind::Peers;
};

/** Ends the process. */
struct Exit {
    int code = 0;
};

using Effect = std::variant<ReadCellRow,
                            WriteCellRow,
                            ReadMemberRows,
                            WriteMemberRow,
                            ReadDocument,
                            FollowDocument,
                            ReadCells,
                            SendPeerMessage,
                            ProbeTarget,
                            CheckTarget,
                            GrantToTarget,
                            AnswerTarget,
                            SendToTarget,
                            ForwardRequest,
                            CancelAttempt,
                            RefuseRequest,
                            AnswerFromStore,
                            Record,
                            AnnounceClose,
                            CloseListener,
                            Exit>;

using Effects = std::vector<Effect>;

} // namespace nutmeghinge
