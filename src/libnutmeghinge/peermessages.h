#pragma once

#include "crashsuspect.h"
#include "deduplicationentry.h"
#include "fence.h"
#include "ids.h"
#include "memberload.h"
#include "ownershipmap.h"
#include "ownershipmapchanges.h"
#include "units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/**
 * Control messages between the members of one cell. Each is one-way and may be
 * lost, delayed, repeated or reordered.
 */
namespace nutmeghinge {

/** Revision and text of a document. Sent with messages so that members get the document without the platform. */
struct DocumentCopy {
    DocumentRevision revision;
    std::string text;

    friend bool operator==(const DocumentCopy &, const DocumentCopy &) = default;
};

/** Asks a member for a vote for the sender as coordinator of the term. A vote is held in memory and expires. */
struct VoteRequest {
    Term term;
    CellRevision revision;
    /** Sender's clock when it sent the request; returned in the answer. */
    MonotonicTime sentAt;
    /** Version of the newest map that the sender has seen. */
    Fence mapVersion{};

    friend bool operator==(const VoteRequest &, const VoteRequest &) = default;
};

/** Grants or refuses the vote that a candidate or coordinator requested. */
struct VoteAnswer {
    Term term;
    bool granted = false;
    CellRevision revision;
    MonotonicTime sentAt;
    /** Highest term that the member has seen; a refused candidate uses a higher one next time. */
    Term highestTerm;
    /** Newest map that the member has seen; sent only with the first vote granted in a term, and if the sender of the request has an older one. */
    std::optional<OwnershipMap> map;
    /** True if the map that the request named is as new as the member's. */
    bool hasNoNewerMap = false;
    DocumentRevision document;

    friend bool operator==(const VoteAnswer &, const VoteAnswer &) = default;
};

/** Asks the coordinator to renew the member's lease, and reports the shards that the member holds. */
struct Heartbeat {
    Term term;
    CellRevision revision;
    /** Member's clock when it sent the heartbeat; the lease starts at this time. */
    MonotonicTime sentAt;
    Fence mapVersion;
    DocumentRevision document;
    /** Shards that the member holds under a valid lease. */
    std::vector<ShardIndex> held;
    /** Shards that the member has drained and handed over, with the fences under which it held them. */
    std::vector<std::pair<ShardIndex, Fence>> released;
    /** True if the member is stopping and wants to hand over all its shards first. */
    bool leaving = false;
    /** Incarnation of the target that reported its held keys to the member; 0 if none has. */
    std::uint64_t targetIncarnation = 0;
    MemberLoad load;
    /** Member's document; set if the coordinator's revision is lower. */
    std::optional<DocumentCopy> newerDocument;
    /** Fingerprint of the suspects that the member knows. */
    std::uint64_t suspects = 0;

    friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

/** Answers a heartbeat by granting a lease to its sender. */
struct HeartbeatAnswer {
    Term term;
    CellRevision revision;
    MonotonicTime sentAt;
    /** Length of the lease, counted by the member from sentAt; zero: no lease is granted. */
    Duration lease{0};
    /** Complete map; set if the member's version is lower and the changes since then are not known. */
    std::optional<OwnershipMap> map;
    /** Changes of the map since the member's version; set if that is lower. */
    std::optional<OwnershipMapChanges> mapChanges;
    DocumentRevision document;
    /** Coordinator's document; set if the member's revision is lower. */
    std::optional<DocumentCopy> newerDocument;
    /** Load of all members, for services that are not sharded by key. */
    std::vector<MemberLoad> loads;
    /** Time, counted from sentAt, for which a successor of the coordinator may act without writing to the table. */
    Duration holdLeft{0};
    /** Time since the platform last confirmed to the coordinator that its document is the newest; empty if it never did. */
    std::optional<Duration> documentAge;

    friend bool operator==(const HeartbeatAnswer &, const HeartbeatAnswer &) = default;
};

/** Sends the deduplication entries of a released shard from its old owner to the next. */
struct HandoverOffer {
    ShardIndex shard;
    Fence fence;
    std::vector<DeduplicationEntry> entries;
    /** Token from the old owner's target that lets the next owner's target start warm; empty if none. */
    std::string token;

    friend bool operator==(const HandoverOffer &, const HandoverOffer &) = default;
};

/** Confirms that the next owner has stored a handover offer in memory. */
struct HandoverAccepted {
    ShardIndex shard;
    Fence fence;

    friend bool operator==(const HandoverAccepted &, const HandoverAccepted &) = default;
};

/**
 * Request of a node to join the cell: it has announced itself in the table but is not
 * a member yet. A row in the table alone is not enough, because its node may have ended
 * long ago.
 */
struct JoinRequest {
    NodeName node;
    Incarnation incarnation;

    friend bool operator==(const JoinRequest &, const JoinRequest &) = default;
};

/** Requests under which targets crashed, as the sender knows them. */
struct CrashReport {
    std::vector<CrashSuspect> suspects;
    /** Fingerprint of all that the sender knows; set in the last message of a complete report. */
    std::optional<std::uint64_t> completeFingerprint;

    friend bool operator==(const CrashReport &, const CrashReport &) = default;
};

/**
 * The sender was told to stop. Requests of its callers that wait at other nodes should
 * be begun only if their time limit ends before the sender breaks them off.
 */
struct StopNotice {
    /** Time after which the sender breaks off requests of its callers. */
    Duration requestsEndIn{0};

    friend bool operator==(const StopNotice &, const StopNotice &) = default;
};

using PeerMessage = std::variant<VoteRequest, VoteAnswer, Heartbeat, HeartbeatAnswer, HandoverOffer, HandoverAccepted, JoinRequest, CrashReport, StopNotice>;

} // namespace nutmeghinge
