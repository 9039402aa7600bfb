#pragma once

#include "crashsuspect.h"
#include "ids.h"
#include "member.h"
#include "ownershipmap.h"

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace nutmeghinge {

/**
 * Change of several of a cell's voters at once. Until a majority of the voters before
 * the change and of those after it knows the row, elections and the coordinator need a
 * majority of both.
 */
struct MemberChange {
    /** Slots of members whose votes did not count before the change, among them those that it has added. */
    std::vector<MemberSlot> formerNonVoting;
    /** Slots of members that the end of the change removes; they are nonVoting. */
    std::vector<MemberSlot> departing;

    friend bool operator==(const MemberChange &, const MemberChange &) = default;
};

/**
 * Row of the platform's table that describes a cell: its members, the owner of
 * each shard and the successors of that owner. Replaced by a conditional write.
 */
struct CellRow {
    ServiceName service;
    /** Increases by one with each change of the members. */
    CellRevision revision;
    /** Slot for the next member that is admitted. */
    MemberSlot nextSlot{1};
    /** Members, in the order in which they become candidates for coordinator. */
    std::vector<Member> members;
    /** Slots of members whose votes do not count, because they are about to leave. */
    std::vector<MemberSlot> nonVoting;
    /** Change of several voters in progress; empty if there is none. */
    std::optional<MemberChange> change;
    /** Nodes of slots that are no longer in members but still named by the map. */
    std::vector<std::pair<MemberSlot, NodeName>> former;
    /** Ownership at the time of the write. */
    OwnershipMap map;
    /** Successors of each shard's owner, by shard, best first. */
    std::vector<std::vector<MemberSlot>> successors;
    /** Increased by the coordinator with each write, to show that it is alive. */
    std::uint64_t mark = 0;
    /** New terms must be higher than this; terms up to it may have been used without a write to the row. */
    Term termFloor;
    /** Highest document revision in force at the coordinator at the time of the write. */
    DocumentRevision document;
    /** Requests under which targets crashed more than once. */
    std::vector<CrashSuspect> suspects;

    friend bool operator==(const CellRow &, const CellRow &) = default;
};

} // namespace nutmeghinge
