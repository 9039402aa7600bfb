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

/** A member as the planning of moves sees it. */
struct BalanceMember {
    MemberSlot slot;
    ZoneName zone;
    std::uint32_t slots = 0;
    /** May own shards: live, allowed by the document and not leaving. */
    bool eligible = false;
    /** Time at which the document's schedule takes it out of service. */
    std::optional<WallTime> leavesAt;
    /** Time that its target takes for a request; zero where it is not known. */
    Duration serviceTime{0};
    /** Time that the member has been eligible. */
    Duration eligibleFor{0};
};

/** All that a strategy may look at; owned by the caller. */
struct BalanceInput {
    const Document &document;
    const std::vector<BalanceMember> &members;
    const OwnershipMap &map;
    /** Requests a second, times 1000, by shard; as long as the map. */
    const std::vector<std::uint64_t> &shardLoads;
    /** Shards that moved so recently that they must stay; as long as the map. */
    const std::vector<bool> &cooling;
    /** Moves that may be started now, beside those of leaving members. */
    std::uint32_t moveBudget = 0;
    /** Time of day. Members that leave long after it count as staying; without it every leavesAt counts. */
    std::optional<WallTime> now;
};

/** A shard and the member that is to own it. */
struct PlannedMove {
    ShardIndex shard;
    MemberSlot to;

    friend bool operator==(const PlannedMove &, const PlannedMove &) = default;
};

/** Decides which shards move. Pure: no state of its own. */
class BalanceStrategy
{
public:
    virtual ~BalanceStrategy() = default;

    /**
     * Moves to start now: shards of nobody and of members that are no longer
     * eligible first, without regard to the budget, then those that even out load.
     */
    virtual std::vector<PlannedMove> plan(const BalanceInput &input) const = 0;
};

/** Strategy for the document's objective. */
std::unique_ptr<BalanceStrategy> makeBalanceStrategy(const Document &document);

/**
 * For each shard up to two successors, best first: eligible, in another zone
 * than the owner where there is one, staying longest, spread evenly.
 */
std::vector<std::vector<MemberSlot>> planSuccessors(const BalanceInput &input);

} // namespace nutmeghinge
