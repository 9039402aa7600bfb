#pragma once

#include "ids.h"
#include "targetstatement.h"
#include "units.h"

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
    /** Applies the statement that came with an answer of the node; std::nullopt if its target said nothing. */
    void answered(const NodeName &node, const std::optional<RelayedStatement> &relayed, MonotonicTime now);

    /** Returns what is known of the target beside the node; std::nullopt if it has said nothing. */
    std::optional<RelayedStatement> statementFor(const NodeName &node, MonotonicTime now) const;

private:
    struct Known {
        TargetInstance target;
        std::optional<RequestRate> limit;
        std::optional<MonotonicTime> leavingSince;
        MonotonicTime statedAt;
    };

    void expire(MonotonicTime now);

    /** By node and not by member, since a restarted node is another member. */
    std::map<NodeName, Known> m_targets;
};

} // namespace nutmeghinge
