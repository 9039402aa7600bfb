#pragma once

#include "cellrow.h"
#include "endpoint.h"
#include "fence.h"
#include "hybridtime.h"
#include "ids.h"
#include "memberrow.h"
#include "notrunreason.h"
#include "outcome.h"
#include "peermessages.h"
#include "requestbody.h"
#include "storedanswer.h"
#include "targetlease.h"
#include "targetstatement.h"
#include "units.h"
#include "unknowncause.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/**
 * Inputs of the reducer. Adapters create events; only the reducer decides which
 * effects follow.
 */
namespace nutmeghinge {

/** Timer event, sent every 10 ms; later if the event loop was blocked. */
struct Tick {
};

/** The answers to other VMs that wait for their turn on the VM's link have changed. */
struct LinkQueueMeasured {
    std::uint64_t bytes = 0;
};

/** A planned stop of the node was requested. */
struct StopRequested {
};

/** Listeners that a node closes at a stop. */
enum class ListenerKind : std::uint8_t {
    Peers,
    Callers,
};

/** After a stop: a listener's requests have finished, and all its connections are closed. */
struct ConnectionsClosed {
    ListenerKind listener = ListenerKind::Peers;
};

// Platform.

/** The platform did not answer, or answered with an error. A write may or may not have taken effect. */
struct PlatformUnavailable {
};

/**
 * The platform's table has a higher epoch than known before. Sent before the result of the call whose answer showed it; results of
 * earlier epochs are not sent any more.
 */
struct TableEpochChanged {
    TableEpoch epoch;
};

/** The requested row does not exist. */
struct RowAbsent {
};

/** A cell row with its version, which a conditional write of the row must state. */
struct VersionedCellRow {
    CellRow row;
    RowVersion version;
    /** Epoch of the table in which the row was written. If it is an earlier one, the version is 0, as the row of this epoch is yet to be written. */
    TableEpoch epoch{};
};

/** Result of ReadCellRow. */
struct CellRowRead {
    ServiceName service;
    std::variant<VersionedCellRow, RowAbsent, PlatformUnavailable> result;
};

/** The row's version differed from the expected one; nothing was written. */
struct WriteConflict {
};

/** The row was written and now has this version. */
struct RowWritten {
    RowVersion version;
};

/** The platform can never accept the row, whenever it is written again; nothing was written. */
struct RowRefused {
    /** Short human-readable text. */
    std::string reason;
};

/** Result of WriteCellRow. PlatformUnavailable: the row may have been written. */
struct CellRowWriteFinished {
    ServiceName service;
    std::variant<RowWritten, WriteConflict, RowRefused, PlatformUnavailable> result;
};

/** Result of ReadMemberRows: every node that announced itself for the service. */
struct MemberRowsRead {
    ServiceName service;
    std::variant<std::vector<VersionedMemberRow>, PlatformUnavailable> result;
};

/** The member row's version differed from the expected one; nothing was written. */
struct MemberRowConflict {
    /** The row as the table has it; empty if there is none. */
    std::optional<VersionedMemberRow> present;
};

/** Result of WriteMemberRow. PlatformUnavailable: the row may have been written, or may be written later if it still has the expected version. */
struct MemberRowWriteFinished {
    std::variant<RowWritten, MemberRowConflict, PlatformUnavailable> result;
};

/** Result of ReadDocument. RowAbsent: the service has no document. */
struct DocumentRead {
    ServiceName service;
    std::variant<DocumentCopy, RowAbsent, PlatformUnavailable> result;
    /** Version of the table at the time of the read; 0 if the platform does not report it. */
    RowVersion tableVersion;
};

/** The platform no longer has the changes since the given version; the row must be read instead. */
struct HistoryLost {
};

/** Result of FollowDocument. RowAbsent: nothing changed within the waiting time. */
struct DocumentFollowed {
    std::variant<DocumentCopy, RowAbsent, HistoryLost, PlatformUnavailable> result;
    /** Version of the table up to which all changes are known. */
    RowVersion tableVersion;
};

/** Result of ReadCells: the cells of all services. */
struct CellsRead {
    std::variant<std::vector<CellRow>, PlatformUnavailable> result;
};

// Peers.

/** A control message from another node arrived. */
struct PeerMessageArrived {
    /** Slot stated by the sender; noMember for a JoinRequest. Other messages from nodes that are not members are dropped. */
    MemberSlot from;
    ServiceName service;
    PeerMessage message;
    /** Sender's clock when it sent the message. */
    HybridTime time{};
};

// Target.

/** The target beside this node announced itself, which it repeats every second. */
struct TargetAnnounced {
    ServiceName service;
    TargetName target;
    Endpoint endpoint;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    /** Increases with each start of the target. */
    std::uint64_t targetIncarnation = 0;
    /** True if the target is about to stop. */
    bool draining = false;
    /** Increases with each heartbeat of the target; 0 if the target sends no heartbeats. */
    std::uint64_t sequence = 0;
    /** Time until the target has warmed up; it is slower until then. */
    Duration warmUpLeft{0};
    /** Keys that the target holds; empty if it does not report them. */
    std::optional<TargetLeaseReport> targetLeases;
    /** Number by which AnswerTarget refers to this announcement; 0 if the target expects no answer. */
    std::uint64_t announcement = 0;
};

/** The target is stopping and will not announce itself again. */
struct TargetLeaving {
    TargetName target;
    /** Incarnation that leaves; empty if the notice does not name it. */
    std::optional<std::uint64_t> targetIncarnation;
    /** Highest incarnation that a target which has started by now can have. */
    std::uint64_t newestIncarnation = 0;
    /** Number by which AnswerTarget refers to this notice. */
    std::uint64_t announcement = 0;
};

/** Result of ProbeTarget. Both fields are hints: they may be outdated or wrong. */
struct TargetProbed {
    bool healthy = false;
    /** Number of requests that the target reports as running; empty if it reports no load. */
    std::optional<std::uint32_t> reportedInFlight;
};

/** Result of CheckTarget. */
struct TargetChecked {
    enum class State : std::uint8_t {
        Listening,
        /** The connection was refused: no process listens at the endpoint. */
        Refused,
        /** Neither was found out in time. */
        Unknown,
    };

    TargetInstance target;
    State state = State::Unknown;
};

/** The target beside this node said something about itself in an answer, or no longer says it. Repeated with each such answer. */
struct TargetStated {
    /** Where the statement comes from. */
    enum class Source : std::uint8_t {
        /** An answer of the target to this node. */
        Answer,
        /** Another node, which learned it from an answer that this node's process, or an earlier one, passed on to it. */
        Peer,
    };

    TargetInstance target;
    TargetStatement statement;
    Source source = Source::Answer;
    /** Time since the target was first known to leave. */
    Duration leavingFor{0};
};

/** Result of GrantToTarget. */
struct TargetGrantFinished {
    Fence fence;
    bool accepted = false;
    /** Newer fence known to the target, if it refused the grant. */
    std::optional<Fence> newerFence;
};

// Requests.

/** Routing decision of the node that received a request from its caller. */
struct RoutedRequest {
    ServiceName service;
    /** True if the request may run more than once. */
    bool repeatable = false;
    /** Priority of the request; 0 is the most urgent. */
    std::uint32_t priority = 0;
    /** Time left to meet the latency objective of the route; zero if the route has none. */
    Duration objective{0};
    /** Class of requests with similar service times; 0 if unknown. */
    std::uint32_t workClass = 0;
};

/** A request of a caller or a peer has arrived completely. */
struct RequestArrived {
    RequestId request;
    /** Value of the Host header without the port, in lower case. */
    std::string host;
    std::string method;
    std::string path;
    /** Headers with names in lower case, without the system's own headers. */
    std::vector<std::pair<std::string, std::string>> headers;
    /** Time limit that the caller stated, if any. */
    std::optional<Duration> timeout;
    /** Number of times the request was forwarded between nodes. */
    std::uint32_t hops = 0;
    /** Member that received the request from its caller, if another node forwarded it and stated that; else noMember. */
    MemberSlot entry = noMember;
    /** Time until that node breaks the request off, if it stops and the request was forwarded after it was told to. */
    std::optional<Duration> entryEndsIn{};
    /** The same as a time of that node's clock, so that the time on the way counts. */
    std::optional<WallTime> entryEndsAt{};
    /** Set by the node that forwarded the request, if its document has routes. */
    std::optional<RoutedRequest> routed;
    /** Id that the caller gave the request; empty if none. */
    std::string callerId;
    std::uint64_t bodySize = 0;
    RequestBody body{};
    /** What identifies the caller; empty if nothing does. */
    std::string caller{};
    /** Clock of the node that forwarded the request; zero if it came from a caller. */
    HybridTime time{};
    /** What the node that forwarded the request knows of the target beside this node, if anything. */
    std::optional<RelayedStatement> relayed{};
    /** Longest time for which the request may have waited to be read. */
    Duration waited{0};
    /** The same at the nodes that forwarded it, as they state. Their time limits do not count it. */
    Duration waitedBefore{0};
};

/** The caller disconnected or cancelled before its answer was complete. */
struct RequestCancelled {
    RequestId request;
};

/** The first byte of an attempt's answer has arrived. The head of the answer is sent to the caller unless another answer has already begun. */
struct AttemptAnswering {
    AttemptId attempt;
    std::uint16_t status = 0;
    /** What the target that answered the other node said about itself, if anything. */
    std::optional<RelayedStatement> relayed{};
};

/** The complete answer was sent to the caller. */
struct AttemptAnswered {
    std::uint16_t status = 0;
    /** Complete answer, if SendToTarget::keepAnswer was set and the answer fits the size limit. */
    std::optional<StoredAnswer> answer;
    /** Size of the answer's body. */
    std::uint64_t bodyBytes = 0;
};

/** The request did not run: no byte can have reached the target, or the other side reliably reports that it did not run the request. */
struct AttemptNotRun {
    NotRunReason reason = NotRunReason::NotConnected;
    /** Minimum delay before a retry, if the other side states one. */
    std::optional<Duration> retryAfter;
    /** Newer fence known to the target, if the reason is StaleFence. */
    std::optional<Fence> newerFence;
    /** HTTP status with which the other node refused the request; 0 if it did not. */
    std::uint16_t status = 0;
    /** The target reported with its refusal that it had a free slot, so it did not refuse because it was full. */
    bool targetHadFreeSlot = false;
    /** This node did not send the request anywhere in the attempt. */
    bool notSent = false;
};

/** The request may have run: bytes may have reached the target, and no complete and valid answer arrived. */
struct AttemptUnknown {
    enum class Reason : std::uint8_t {
        ConnectionLost,
        /** The other side's system did not acknowledge what was sent to it. */
        Unacknowledged,
        /** This node cancelled the attempt. */
        Cancelled,
        NoProgress,
        DeadlineExpired,
        WrongAnswer,
        TruncatedAnswer,
        /** The other node reported the outcome "unknown". */
        PeerUnknown,
        /** The target answered, at the time at which it was to stop working, that its time was over, here or at the other node. */
        WorkTimeExpired,
    };
    Reason reason = Reason::ConnectionLost;
    /** True if part of the answer was sent to the caller. The caller's stream was reset, so no other answer is possible. */
    bool answerBegun = false;
    /** HTTP status with which the other side refused the request, if the reason is PeerUnknown or WorkTimeExpired; otherwise 0. */
    std::uint16_t status = 0;
    /** Target that crashed while it may have been running the request, as the other node reports it. */
    std::optional<TargetRun> crashedTarget{};
    /** Why the other node does not know the outcome, if it stated that. */
    std::optional<UnknownCause> peerCause{};
};

/** An attempt has ended. Sent exactly once per attempt, also after CancelAttempt. */
struct AttemptFinished {
    AttemptId attempt;
    std::variant<AttemptAnswered, AttemptNotRun, AttemptUnknown> result;
};

using EventBody = std::variant<Tick,
                               LinkQueueMeasured,
                               StopRequested,
                               ConnectionsClosed,
                               TableEpochChanged,
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
                               TargetChecked,
                               TargetStated,
                               TargetGrantFinished,
                               RequestArrived,
                               RequestCancelled,
                               AttemptAnswering,
                               AttemptFinished>;

/** One input of the reducer, with the time at which the event loop processes it. */
struct Event {
    MonotonicTime at;
    WallTime wallTime;
    EventBody body;
    /** Everything that had arrived at the node by the time `at` less this lag was handled before this event. */
    Duration lag{0};
};

} // namespace nutmeghinge
