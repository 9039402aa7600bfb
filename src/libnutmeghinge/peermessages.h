#pragma once

#include "deduplicationentry.h"
#include "fence.h"
#include "ids.h"
#include "memberload.h"
#include "ownershipmap.h"
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

/** Document that travels with a message, so that a member needs no platform to learn it. */
struct DocumentCopy {
    DocumentRevision revision;
    std::string text;

    friend bool operator==(const DocumentCopy &, const DocumentCopy &) = default;
};

/** Asks a member to promise that it will follow the sender as coordinator for one promise length. */
struct PromiseRequest {
    Term term;
    CellRevision revision;
    /** Sender's clock when it sent the request; returned in the answer. */
    MonotonicTime sentAt;

    friend bool operator==(const PromiseRequest &, const PromiseRequest &) = default;
};

/** Answers a promise request, or refuses it. */
struct PromiseAnswer {
    Term term;
    bool granted = false;
    CellRevision revision;
    MonotonicTime sentAt;
    /** Highest term that the member has seen; a refused candidate goes above it. */
    Term highestTerm;
    /** Newest map that the member has seen; sent on the first grant of a term only. */
    std::optional<OwnershipMap> map;
    DocumentRevision document;

    friend bool operator==(const PromiseAnswer &, const PromiseAnswer &) = default;
};

/** Asks the coordinator for a new lease and reports what the member holds. */
struct Heartbeat {
    Term term;
    CellRevision revision;
    /** Member's clock when it sent the heartbeat; its lease counts from here. */
    MonotonicTime sentAt;
    Fence mapVersion;
    DocumentRevision document;
    /** Shards that the member holds under a lease that is still valid. */
    std::vector<ShardIndex> held;
    /** Shards that it has drained and handed over, by the fence they were held with. */
    std::vector<std::pair<ShardIndex, Fence>> released;
    /** The member wants to give all its shards away before it ends. */
    bool leaving = false;
    /** Incarnation of the target that has told the member what it holds; 0 where none has. */
    std::uint64_t targetIncarnation = 0;
    MemberLoad load;
    /** Sent when the coordinator's revision is lower than the member's. */
    std::optional<DocumentCopy> newerDocument;

    friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

/** Grants the sender of a heartbeat a lease. */
struct HeartbeatAnswer {
    Term term;
    CellRevision revision;
    MonotonicTime sentAt;
    /** Length of the lease, counted by the member from sentAt; zero grants nothing. */
    Duration lease{0};
    /** Whole map, where the member's version is lower. */
    std::optional<OwnershipMap> map;
    DocumentRevision document;
    /** Document, where the member's revision is lower. */
    std::optional<DocumentCopy> newerDocument;
    /** Load of all members, for services that are not divided by key. */
    std::vector<MemberLoad> loads;
    /** Time for which a successor of the coordinator may act without a write to the table, counted from sentAt. */
    Duration holdLeft{0};

    friend bool operator==(const HeartbeatAnswer &, const HeartbeatAnswer &) = default;
};

/** Carries a released shard's deduplication memory from its old owner to the next. */
struct HandoverOffer {
    ShardIndex shard;
    Fence fence;
    std::vector<DeduplicationEntry> entries;
    /** Token by which the next owner's target begins warm; empty where there is none. */
    std::string token;

    friend bool operator==(const HandoverOffer &, const HandoverOffer &) = default;
};

/** Confirms that a handover offer is in memory. */
struct HandoverAccepted {
    ShardIndex shard;
    Fence fence;

    friend bool operator==(const HandoverAccepted &, const HandoverAccepted &) = default;
};

/**
 * Asks the members for a place among them: the sender has announced itself in the
 * table and is no member. An announcement alone may be that of a node long gone.
 */
struct JoinRequest {
    NodeName node;
    Incarnation incarnation;

    friend bool operator==(const JoinRequest &, const JoinRequest &) = default;
};

using PeerMessage = std::variant<PromiseRequest, PromiseAnswer, Heartbeat, HeartbeatAnswer, HandoverOffer, HandoverAccepted, JoinRequest>;

} // namespace nutmeghinge
