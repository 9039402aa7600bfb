#pragma once

#include "strongtype.h"

#include <cstdint>
#include <string>

/**
 * Identifiers shared by every module.
 */
namespace nutmeghinge {

/** Name of a service, unique in the platform. */
using ServiceName = StrongType<struct ServiceNameTag, std::string>;
/** Name of a node, stable over restarts of its process. */
using NodeName = StrongType<struct NodeNameTag, std::string>;
/** Name of a target, as it announces itself. */
using TargetName = StrongType<struct TargetNameTag, std::string>;
/** Name of an availability zone. */
using ZoneName = StrongType<struct ZoneNameTag, std::string>;
/** Name of a region. */
using RegionName = StrongType<struct RegionNameTag, std::string>;
/** Number of one run of a node's process; a later run has a higher one. */
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;
/** Number of one incarnation of a node in its cell; never given out twice. 0 is no member. */
using MemberSlot = StrongType<struct MemberSlotTag, std::uint32_t>;
/** Position of a shard, from 0 to the document's number of shards less one. */
using ShardIndex = StrongType<struct ShardIndexTag, std::uint32_t>;
/** Number of a coordinator's term; rises, and no two candidates share one. 0 is no term. */
using Term = StrongType<struct TermTag, std::uint64_t>;
/** Revision of a service's document, from 1; 0 is no document. */
using DocumentRevision = StrongType<struct DocumentRevisionTag, std::uint64_t>;
/** Revision of a cell's list of members, from 1; 0 is no list. */
using CellRevision = StrongType<struct CellRevisionTag, std::uint64_t>;
/** Version of a row of the table service, set by the platform; 0 is an absent row. */
using RowVersion = StrongType<struct RowVersionTag, std::uint64_t>;
/** Number of a caller's request, unique in one incarnation of a node. */
using RequestId = StrongType<struct RequestIdTag, std::uint64_t>;
/** Number of one try of a request, unique in one incarnation of a node. */
using AttemptId = StrongType<struct AttemptIdTag, std::uint64_t>;

/** The slot that stands for no member. */
inline constexpr MemberSlot noMember{0};

} // namespace nutmeghinge
