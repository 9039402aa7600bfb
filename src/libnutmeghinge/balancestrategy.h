#pragma once

#include "ids.h"
#include "memberload.h"
#include "ownershipmap.h"
#include "units.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace nutmeghinge {

struct Document;

/** Properties of a member that the planning of moves takes into account. */
struct BalanceMember {
    MemberSlot slot;
    ZoneName zone;
    /** Number of requests that the member's target may process concurrently. */
    std::uint32_t slots = 0;
    /** True if the member may own shards: it is live, allowed by the document and not leaving. */
    bool eligible = false;
    /** Time at which the document's schedule takes the member out of service. */
    std::optional<WallTime> leavesAt;
    /** Time of a request at the member's target per second of its objective; zero if unknown. */
    Duration serviceTime{0};
    /** Time for which the member has been eligible. */
    Duration eligibleFor{0};
};

/** Input of a strategy. The referenced objects are owned by the caller. */
struct BalanceInput {
    const Document &document;
    const std::vector<BalanceMember> &members;
    const OwnershipMap &map;
    /** Requests per second, times 1000, by shard; one entry per shard of the map. */
    const std::vector<std::uint64_t> &shardLoads;
    /** True for shards that moved too recently to move again; one entry per shard of the map. */
    const std::vector<bool> &cooling;
    /** Maximum number of moves to start now, not counting shards that are unowned or owned by members that are not eligible. */
    std::uint32_t moveBudget = 0;
    /** Current wall time. Members that leave long after it are treated as staying; if unset, every leavesAt is taken into account. */
    std::optional<WallTime> now;
};

/** Assigns a shard to a new owner. */
struct PlannedMove {
    ShardIndex shard;
    MemberSlot to;

    friend bool operator==(const PlannedMove &, const PlannedMove &) = default;
};

/** Decides which shards move. Implementations are stateless. */
class BalanceStrategy
{
public:
    virtual ~BalanceStrategy() = default;

    /**
     * Returns the moves to start now. Shards that are unowned or owned by members
     * that are not eligible come first and do not count against the budget; moves
     * that balance the load follow.
     */
    virtual std::vector<PlannedMove> plan(const BalanceInput &input) const = 0;
};

/** Creates the strategy for the document's objective. */
std::unique_ptr<BalanceStrategy> makeBalanceStrategy(const Document &document);

/**
 * Returns up to two successors for each shard, best first. Successors are
 * eligible, preferably in another zone than the owner, preferably the members
 * that stay longest, and evenly distributed.
 */
std::vector<std::vector<MemberSlot>> planSuccessors(const BalanceInput &input);

} // namespace nutmeghinge
