#pragma once

#include "cellrow.h"
#include "endpoint.h"
#include "fence.h"
#include "hybridtime.h"
#include "ids.h"
#include "member.h"
#include "notrunreason.h"
#include "outcome.h"
#include "peermessages.h"
#include "storedanswer.h"
#include "targethold.h"
#include "units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/**
 * Everything that can happen to a node. Adapters make events; the reducer alone
 * decides what follows.
 */
namespace nutmeghinge {

/** Time has passed; sent every 10 ms, later where the loop was held up. */
struct Tick {
};

/** A planned stop was asked for. */
struct StopRequested {
};

/** All requests are finished and all connections of callers and peers are closed after a stop. */
struct ConnectionsClosed {
};

// Platform.

/** The platform did not answer, or answered with an error; nothing is known of a write's effect. */
struct PlatformUnavailable {
};

/** The row does not exist. */
struct RowAbsent {
};

/** A row with the version that a conditional write has to name. */
struct VersionedCellRow {
    CellRow row;
    RowVersion version;
};

/** Answers ReadCellRow. */
struct CellRowRead {
    ServiceName service;
    std::variant<VersionedCellRow, RowAbsent, PlatformUnavailable> result;
};

/** The row had another version than the write named; nothing was written. */
struct WriteConflict {
};

/** The row was written. */
struct RowWritten {
    RowVersion version;
};

/** Answers WriteCellRow. PlatformUnavailable: the row may have been written. */
struct CellRowWriteFinished {
    ServiceName service;
    std::variant<RowWritten, WriteConflict, PlatformUnavailable> result;
};

/** Answers ReadMemberRows with every node that announced itself for the service. */
struct MemberRowsRead {
    ServiceName service;
    std::variant<std::vector<Member>, PlatformUnavailable> result;
};

/** Answers WriteMemberRow. */
struct MemberRowWriteFinished {
    std::variant<RowWritten, PlatformUnavailable> result;
};

/** Answers ReadDocument. RowAbsent: the service has no document. */
struct DocumentRead {
    ServiceName service;
    std::variant<DocumentCopy, RowAbsent, PlatformUnavailable> result;
    /** Version of the table that the answer shows; 0 where the platform does not tell. */
    RowVersion tableVersion;
};

/** The platform no longer has the changes behind the version: the row must be read. */
struct HistoryLost {
};

/** Answers FollowDocument. RowAbsent: nothing changed in the time. */
struct DocumentFollowed {
    std::variant<DocumentCopy, RowAbsent, HistoryLost, PlatformUnavailable> result;
    /** Version of the table up to which changes are now known. */
    RowVersion tableVersion;
};

/** Answers ReadCells with the cells of all services. */
struct CellsRead {
    std::variant<std::vector<CellRow>, PlatformUnavailable> result;
};

// Peers.

/** A control message came from a member. */
struct PeerMessageArrived {
    /** Slot that the sender states; messages from no member are dropped. */
    MemberSlot from;
    ServiceName service;
    PeerMessage message;
    /** Sender's clock when it sent the message. */
    HybridTime time{};
};

// Target.

/** The target beside this node announced itself, again every second. */
struct TargetAnnounced {
    ServiceName service;
    TargetName target;
    Endpoint endpoint;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    /** Rises with each start of the target. */
    std::uint64_t targetIncarnation = 0;
    /** The target wants to end. */
    bool draining = false;
    /** Rises with each heartbeat of the target; 0 where it has none. */
    std::uint64_t sequence = 0;
    /** Time for which the target will still be slow. */
    Duration warmUpLeft{0};
    /** Keys that the target holds, where it says so. */
    std::optional<HoldReport> holds;
    /** Number by which AnswerTarget names the announcement; 0: no answer is awaited. */
    std::uint64_t announcement = 0;
};

/** The target ends and will not announce itself again. */
struct TargetLeaving {
    TargetName target;
};

/** Answers ProbeTarget. Both are hints: they may lag or mislead. */
struct TargetProbed {
    bool healthy = false;
    /** Requests that the target says it runs; nothing where it reports no load. */
    std::optional<std::uint32_t> reportedInFlight;
};

/** Answers GrantToTarget. */
struct TargetGrantFinished {
    Fence fence;
    bool accepted = false;
    /** Newer fence that the target knows, where it refused. */
    std::optional<Fence> newerFence;
};

// Requests.

/** What the node that took a request from its caller decided on it. */
struct RoutedRequest {
    ServiceName service;
    /** The request may run more than once. */
    bool repeatable = false;
    /** Rank of the request, 0 is the most urgent. */
    std::uint32_t priority = 0;
    /** Time left until the answer is worth less; zero: none is stated. */
    Duration objective{0};
    /** Requests of one number are alike work; 0 where nothing is known. */
    std::uint32_t workClass = 0;
};

/** A caller's or a peer's request has arrived whole. */
struct RequestArrived {
    RequestId request;
    /** Value of the Host header without port, in lower case. */
    std::string host;
    std::string method;
    std::string path;
    /** All headers with names in lower case, without those of the system. */
    std::vector<std::pair<std::string, std::string>> headers;
    /** Time that the caller allows, where it states one. */
    std::optional<Duration> timeout;
    /** Times that the request was forwarded between nodes. */
    std::uint32_t hops = 0;
    /** Set by the node that forwarded the request, where its document has routes. */
    std::optional<RoutedRequest> routed;
    /** Id that the caller gave the request; empty where it gave none. */
    std::string callerId;
    std::uint64_t bodySize = 0;
    /** Clock of the node that forwarded the request; zero for callers. */
    HybridTime time{};
};

/** The caller has gone before its answer was complete. */
struct RequestCancelled {
    RequestId request;
};

/** The first byte of the answer to an attempt has come; its head goes to the caller if no answer began before. */
struct AttemptAnswering {
    AttemptId attempt;
    std::uint16_t status = 0;
};

/** The answer went to the caller whole. */
struct AttemptAnswered {
    std::uint16_t status = 0;
    /** Whole answer, where the effect asked to keep it and it fits. */
    std::optional<StoredAnswer> answer;
};

/** No byte can have reached the target, or the other side says truly that it did not run the request. */
struct AttemptNotRun {
    NotRunReason reason = NotRunReason::NotConnected;
    /** Earliest time to come again, where the other side states one. */
    std::optional<Duration> retryAfter;
    /** Newer fence that the target knows, with StaleFence. */
    std::optional<Fence> newerFence;
    /** Status of the other node's refusal; 0 where there was none. */
    std::uint16_t status = 0;
};

/** Bytes may have reached the target and no whole answer came, or it came broken. */
struct AttemptUnknown {
    enum class Reason : std::uint8_t {
        ConnectionLost,
        NoProgress,
        DeadlineExpired,
        WrongAnswer,
        TruncatedAnswer,
        /** The other node gave the outcome "unknown". */
        PeerUnknown,
    };
    Reason reason = Reason::ConnectionLost;
    /** Part of the answer has gone to the caller: its stream was reset, no other answer is possible. */
    bool answerBegun = false;
    /** Status of the other node's refusal, with PeerUnknown; 0 where there was none. */
    std::uint16_t status = 0;
};

/** An attempt has ended. Every attempt ends with just one, also after CancelAttempt. */
struct AttemptFinished {
    AttemptId attempt;
    std::variant<AttemptAnswered, AttemptNotRun, AttemptUnknown> result;
};

using EventBody = std::variant<Tick,
                               StopRequested,
                               ConnectionsClosed,
                               CellRowRead,
                               CellRowWriteFinished,
                               MemberRowsRead,
                               MemberRowWriteFinished,
                               DocumentRead,
                               DocumentFollowed,
                               CellsRead,
                               PeerMessageArrived,
                               TargetAnnounced,
                               TargetLeaving,
                               TargetProbed,
                               TargetGrantFinished,
                               RequestArrived,
                               RequestCancelled,
                               AttemptAnswering,
                               AttemptFinished>;

/** One thing that happened, with the time at which the loop took it up. */
struct Event {
    MonotonicTime at;
    WallTime wallTime;
    EventBody body;
};

} // namespace nutmeghinge
