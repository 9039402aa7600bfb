#pragma once

#include "ids.h"
#include "member.h"
#include "targetstatement.h"

#include <vector>

namespace nutmeghinge {

/** Row of the platform's table by which a node announces itself. Only the node's own processes write it. */
struct MemberRow {
    Member member;
    /** Targets beside the node that have said that they are about to stop, oldest first. */
    std::vector<TargetInstance> departed{};

    friend bool operator==(const MemberRow &, const MemberRow &) = default;
};

/** A member row with its version, which a conditional write of the row must state. */
struct VersionedMemberRow {
    MemberRow row;
    RowVersion version;
};

} // namespace nutmeghinge
