#pragma once

#include "ids.h"
#include "member.h"

namespace nutmeghinge {

/** Row of the platform's table by which a node announces itself. Only the node's own processes write it. */
struct MemberRow {
    Member member;

    friend bool operator==(const MemberRow &, const MemberRow &) = default;
};

/** A member row with its version, which a conditional write of the row must state. */
struct VersionedMemberRow {
    MemberRow row;
    RowVersion version;
};

} // namespace nutmeghinge
