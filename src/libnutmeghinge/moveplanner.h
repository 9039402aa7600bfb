#pragma once

#include "balancestrategy.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace nutmeghinge {

/**
 * Plans moves of shards on a working copy of their ownership. A member's load is
 * measured per slot; only a fraction of a cold member's slots is counted.
 */
class MovePlanner
{
public:
    /** Range of loads per slot, as ratios to the mean of the members, within which no shard moves. */
    struct Band {
        double lowest = 0;
        double highest = 0;
    };

    /** The input must outlive the object. */
    explicit MovePlanner(const BalanceInput &input);

    /** Plans owners for shards that are unowned or owned by members that are not eligible. */
    void placeUnserved();
    /**
     * Plans as few moves as needed, within the budget, to bring each member's load
     * into a band. No shard moves while all members are within the outer band;
     * otherwise shards move until all members are within the inner band.
     */
    void balance(Band outer, Band inner);
    /** Returns the moves planned so far. */
    const std::vector<PlannedMove> &moves() const { return m_moves; }

private:
    struct MemberState {
        MemberSlot slot;
        /** Time at which the member leaves; WallTime::max() if it stays. */
        WallTime staysUntil;
        /** Number of slots, reduced while the member is cold. */
        double capacity = 0;
        /** Sum of the weights of its shards. */
        double load = 0;
        /** Shards that may move to another member. */
        std::vector<std::size_t> movable;

        double loadPerSlot() const { return load / capacity; }
        double loadPerSlotAfter(double change) const { return (load + change) / capacity; }
    };

    struct Candidate {
        /** Indexes of the members in m_members. */
        std::size_t from = 0;
        std::size_t to = 0;
        /** Index of the shard in the movable shards of the member from. */
        std::size_t position = 0;
        /** Higher of the two members' loads per slot after the move. */
        double peak = 0;
    };

    void addMembers();
    void weighShards();
    void addShards();
    bool isInUse(std::size_t shard) const;
    std::optional<std::size_t> memberAt(MemberSlot slot) const;
    std::size_t leastLoadedLongestStaying(double weight) const;
    double meanLoadPerSlotFor(const MemberState &from) const;
    std::optional<Candidate> findMove(Band band) const;
    std::optional<Candidate> findMoveFrom(std::size_t from, Band band) const;
    std::optional<Candidate> bestShard(std::size_t from, std::size_t to) const;
    std::vector<std::size_t> membersByLoad() const;
    void apply(const Candidate &move);

    const BalanceInput &m_input;
    std::vector<MemberState> m_members;
    /** Load by shard, at least the minimum. */
    std::vector<double> m_weights;
    /** Shards without an eligible owner. */
    std::vector<std::size_t> m_unserved;
    std::vector<PlannedMove> m_moves;
};

} // namespace nutmeghinge
