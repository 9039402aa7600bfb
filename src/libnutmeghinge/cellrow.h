#pragma once

#include "ids.h"
#include "member.h"
#include "ownershipmap.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace nutmeghinge {

/**
 * What the table keeps of a cell: who its members are, who owns each shard and
 * who follows on the owner's loss. Changed by one conditional write.
 */
struct CellRow {
    ServiceName service;
    /** Rises by one with each change of members. */
    CellRevision revision;
    /** Slot that the next admitted member gets. */
    MemberSlot nextSlot{1};
    /** In the order in which they stand as candidates for coordinator. */
    std::vector<Member> members;
    /** Nodes of slots that are no longer listed and that the map still names. */
    std::vector<std::pair<MemberSlot, NodeName>> former;
    /** Owners when the row was written. */
    OwnershipMap map;
    /** For each shard its successors, best first. */
    std::vector<std::vector<MemberSlot>> successors;
    /** Rises with each sign of life of the coordinator. */
    std::uint64_t mark = 0;
    /** Terms are above this: lower ones may have been used without a write to the row. */
    Term termFloor;
    /** Highest document revision that the coordinator had put in force. */
    DocumentRevision document;

    friend bool operator==(const CellRow &, const CellRow &) = default;
};

} // namespace nutmeghinge
