#pragma once

#include "cellrow.h"
#include "endpoint.h"
#include "events.h"
#include "fence.h"
#include "hybridtime.h"
#include "ids.h"
#include "member.h"
#include "notrunreason.h"
#include "outcome.h"
#include "peermessages.h"
#include "storedanswer.h"
#include "targethold.h"
#include "timelinerecord.h"
#include "units.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/**
 * Everything that the reducer can ask of the adapters.
 */
namespace nutmeghinge {

// Platform. Adapters run each of these once and answer with one event.

struct ReadCellRow {
    ServiceName service;
};

struct WriteCellRow {
    /** Version that the row must have; 0: it must be absent. */
    RowVersion expected;
    CellRow row;
};

struct ReadMemberRows {
    ServiceName service;
};

/** Writes this node's own row, whatever its version. */
struct WriteMemberRow {
    ServiceName service;
    Member member;
};

/** Reads the accepted revision and its text. */
struct ReadDocument {
    ServiceName service;
    /** Answer with RowAbsent's place taken by an empty text where the revision is no higher. */
    DocumentRevision known;
};

/**
 * Waits for a change of the accepted document behind a version of the table.
 * Answered with DocumentFollowed.
 */
struct FollowDocument {
    ServiceName service;
    /** Version of the table up to which changes are known. */
    RowVersion after;
    /** Longest time to wait for a change. */
    Duration wait{0};
};

struct ReadCells {
};

// Peers.

struct SendPeerMessage {
    Endpoint to;
    MemberSlot from;
    ServiceName service;
    PeerMessage message;
    /** Sender's clock; set by the Reducer. */
    HybridTime time{};
};

// Target.

struct ProbeTarget {
    Endpoint endpoint;
};

/** Tells the target which shards it owns from now on. */
struct GrantToTarget {
    Endpoint endpoint;
    Fence fence;
    std::vector<ShardIndex> shards;
};

/** Answers the target's announcement. */
struct AnswerTarget {
    std::uint64_t announcement = 0;
    /** Keys that the target is to hold; nothing renews no hold. */
    std::optional<HoldGrant> grant;
};

// Requests.

/** Sends a request to the target beside this node. */
struct SendToTarget {
    RequestId request;
    AttemptId attempt;
    Endpoint endpoint;
    ShardIndex shard;
    Fence fence;
    /** The attempt ends with AttemptUnknown at this time. */
    MonotonicTime deadline;
    /** The deadline holds for the head of the answer; its body may take longer while there is progress. */
    bool deadlineForHeadOnly = false;
    /** The other side may be silent until the deadline: the request may wait there for a slot. */
    bool mayBeSilent = false;
    /** Target that is meant; another one at its address is to refuse. */
    TargetName target;
    /** Hold the answer back until it is whole and return it in AttemptAnswered, if it fits. */
    bool keepAnswer = false;
    /** Use a connection made for this attempt. */
    bool freshConnection = false;
};

/** Sends a request to another node's peer listener. */
struct ForwardRequest {
    RequestId request;
    AttemptId attempt;
    Endpoint peer;
    MonotonicTime deadline;
    std::uint32_t hops = 0;
    bool deadlineForHeadOnly = false;
    bool mayBeSilent = false;
    /** Set where the sender's document has routes. */
    std::optional<RoutedRequest> routed;
    bool freshConnection = false;
    /** Sender's clock; set by the Reducer. */
    HybridTime time{};
};

struct CancelAttempt {
    AttemptId attempt;
};

/** Final answer of the system itself. */
struct RefuseRequest {
    RequestId request;
    std::uint16_t status = 503;
    Outcome outcome = Outcome::NotRun;
    /** Reason that a peer tells apart; only sent to peers. */
    NotRunReason reason = NotRunReason::Overloaded;
    /** Time after which to come again; zero leaves the header out. */
    Duration retryAfter{0};
    std::string detail;
};

/** Answers with what a request of the same idempotency key was answered. */
struct AnswerFromStore {
    RequestId request;
    StoredAnswer answer;
};

// The node itself.

/** Puts a record on the time line. */
struct Record {
    TimelineRecord record;
};

/** Takes no new connections; existing ones close after their running answers. Ends with ConnectionsClosed. */
struct CloseListeners {
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
                            GrantToTarget,
                            AnswerTarget,
                            SendToTarget,
                            ForwardRequest,
                            CancelAttempt,
                            RefuseRequest,
                            AnswerFromStore,
                            Record,
                            CloseListeners,
                            Exit>;

using Effects = std::vector<Effect>;

} // namespace nutmeghinge
