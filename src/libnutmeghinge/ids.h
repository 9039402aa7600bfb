#pragma once

#include "strongtype.h"

#include <cstdint>
#include <string>

/**
 * Identifier types shared by all modules.
 */
namespace nutmeghinge {

/** Name of a service, unique within the platform. */
using ServiceName = StrongType<struct ServiceNameTag, std::string>;
/** Name of a node; unchanged by restarts of its process. */
using NodeName = StrongType<struct NodeNameTag, std::string>;
/** Name of a target, as stated in its announcements. */
using TargetName = StrongType<struct TargetNameTag, std::string>;
/** Name of an availability zone. */
using ZoneName = StrongType<struct ZoneNameTag, std::string>;
/** Name of a region. */
using RegionName = StrongType<struct RegionNameTag, std::string>;
/** Number of one run of a node's process; increases with each run. */
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;
/** Number of one incarnation of a node within its cell; never reused. 0 means no member. */
using MemberSlot = StrongType<struct MemberSlotTag, std::uint32_t>;
/** Index of a shard, from 0 to the document's number of shards minus one. */
using ShardIndex = StrongType<struct ShardIndexTag, std::uint32_t>;
/** Number of a coordinator's term; increases, and is never shared by two candidates. 0 means no term. */
using Term = StrongType<struct TermTag, std::uint64_t>;
/** Revision of a service's document, from 1; 0 means no document. */
using DocumentRevision = StrongType<struct DocumentRevisionTag, std::uint64_t>;
/** Revision of a cell's member list, from 1; 0 means no list. */
using CellRevision = StrongType<struct CellRevisionTag, std::uint64_t>;
/** Version of a row of the table service, set by the platform; 0 means that the row does not exist. */
using RowVersion = StrongType<struct RowVersionTag, std::uint64_t>;
/**
 * Number of the platform's table: 1 plus the number of times it was restored from a copy; 0 if the platform does not say. Row
 * versions are given out again after a restoration, so they are compared only within one epoch.
 */
using TableEpoch = StrongType<struct TableEpochTag, std::uint64_t>;
/** Stands for one incarnation of a target, by a hash of its name and incarnation. */
using TargetRun = StrongType<struct TargetRunTag, std::uint64_t>;
/** Number of a request, unique within one incarnation of a node. */
using RequestId = StrongType<struct RequestIdTag, std::uint64_t>;
/** Number of one attempt to run a request, unique within one incarnation of a node. */
using AttemptId = StrongType<struct AttemptIdTag, std::uint64_t>;

/** Slot value that means no member. */
inline constexpr MemberSlot noMember{0};

} // namespace nutmeghinge
