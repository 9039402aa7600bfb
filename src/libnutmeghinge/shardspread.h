#pragma once

#include "balancestrategy.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace nutmeghinge {

/**
 * Working copy of who owns which shard while a plan is made. Load counts by
 * the slots of a member; a cold member's slots count in part.
 */
class ShardSpread
{
public:
    /** Loads per slot between which nothing moves, as ratios to the mean of the members. */
    struct Band {
        double lowest = 0;
        double highest = 0;
    };

    /** The input must outlive the spread. */
    explicit ShardSpread(const BalanceInput &input);

    /** Plans owners for the shards of nobody and of members that are not eligible. */
    void placeUnserved();
    /**
     * Plans moves within the budget, the fewest that take each member into the
     * band. Nothing moves while all are within the outer band; once one is not,
     * moves go on until all are within the inner one.
     */
    void level(Band outer, Band inner);
    /** The moves planned so far. */
    const std::vector<PlannedMove> &moves() const { return m_moves; }

private:
    struct MemberState {
        MemberSlot slot;
        WallTime staysUntil;
        double capacity = 0;
        double load = 0;
        std::vector<std::size_t> movable;

        double loadPerSlot() const { return load / capacity; }
        double loadPerSlotWith(double change) const { return (load + change) / capacity; }
    };

    struct Candidate {
        std::size_t from = 0;
        std::size_t to = 0;
        /** Position in the movable shards of the member it leaves. */
        std::size_t position = 0;
        /** Higher load per slot of the two members after the move. */
        double peak = 0;
    };

    void addMembers();
    void weighShards();
    void addShards();
    bool isInUse(std::size_t shard) const;
    std::optional<std::size_t> memberAt(MemberSlot slot) const;
    std::size_t leastLoadedOfLongestStaying(double weight) const;
    double meanOfReachable(const MemberState &from) const;
    std::optional<Candidate> findMove(Band band) const;
    std::optional<Candidate> findMoveFrom(std::size_t from, Band band) const;
    std::optional<Candidate> bestShard(std::size_t from, std::size_t to) const;
    std::vector<std::size_t> membersByLoad() const;
    void apply(const Candidate &move);

    const BalanceInput &m_input;
    std::vector<MemberState> m_members;
    std::vector<double> m_weights;
    std::vector<std::size_t> m_unserved;
    std::vector<PlannedMove> m_moves;
};

} // namespace nutmeghinge
