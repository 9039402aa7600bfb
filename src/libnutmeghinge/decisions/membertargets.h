#pragma once

#include "ids.h"
#include "targetstatement.h"
#include "units.h"

#include <functional>
#include <map>
#include <optional>

namespace nutmeghinge {

/**
 * What the targets of other members have said about themselves in answers that
 * this node passed on to its callers. The node repeats it to a member with each
 * request that it forwards there, so that a member whose process was restarted
 * knows of its target's limit and departure before it sends the first request.
 * Only the member decides: it alone knows which target is beside it now.
 */
class MemberTargets
{
public:
    /** Applies the statement that came with an answer of the member; std::nullopt if its target said nothing. */
    void answered(MemberSlot member, const std::optional<RelayedStatement> &relayed, MonotonicTime now);
    /** Forgets the members for which the function returns false. */
    void keepOnly(const std::function<bool(MemberSlot)> &isMember);

    /** Returns what is known of the member's target; std::nullopt if it has said nothing. */
    std::optional<RelayedStatement> statementFor(MemberSlot member, MonotonicTime now) const;

private:
    struct Known {
        TargetInstance target;
        std::optional<RequestRate> limit;
        std::optional<MonotonicTime> leavingSince;
    };

    std::map<MemberSlot, Known> m_targets;
};

} // namespace nutmeghinge
