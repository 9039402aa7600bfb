#include "rangestrategy.h"

#include "document.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

using State = ShardOwnership::State;

/** Runs of shards that one member may have, so that the answer to its target's heartbeat stays within 4 KiB. */
constexpr std::size_t maximumRuns = 40;
/** Bounds of the speed that a member counts with: a few slow answers must not empty it. */
constexpr double slowestSpeed = 0.4;
constexpr double fastestSpeed = 2;
/** Part of the mean load of a shard that an idle one counts for, so that idle shards spread by their number. */
constexpr double idleShardLoad = 0.2;
/** A slice that moves takes at the most this part of the load that is to be evened out. */
constexpr double largestSlice = 1.1;

/** Working copy of who has which shard while a plan is made. */
class RangePlan
{
public:
    explicit RangePlan(const BalanceInput &input);

    void placeUnserved();
    void level();
    const std::vector<PlannedMove> &moves() const { return m_moves; }

private:
    struct Holder {
        MemberSlot slot;
        double capacity = 1;
        double load = 0;

        double ratio(double mean) const { return load / capacity / mean; }
    };

    /** Neighbouring shards that may move together. */
    struct Slice {
        std::size_t first = 0;
        std::size_t end = 0;
        double load = 0;

        bool isEmpty() const { return first == end; }
    };

    double speedOf(const BalanceMember &member) const;
    void addMembers();
    void addShards();
    void give(std::size_t shard, Holder &to);
    double meanLoad() const;
    std::size_t runsOf(MemberSlot slot) const;
    Slice bestSlice(const Holder &from, double wanted) const;
    Slice moveSlice(Holder &from, Holder &to, double mean, std::size_t budget);

    const BalanceInput &m_input;
    std::vector<Holder> m_holders;
    std::vector<double> m_weights;
    /** Present or next owner by shard; noMember where nobody may serve it. */
    std::vector<MemberSlot> m_owners;
    /** The shard may be moved to even out load. */
    std::vector<bool> m_movable;
    std::vector<PlannedMove> m_moves;
};

RangePlan::RangePlan(const BalanceInput &input)
    : m_input(input)
{
    addMembers();
    addShards();
}

/** Speed of the member's target against the mean of all, by the times that they take for a request. */
double RangePlan::speedOf(const BalanceMember &member) const
{
    double total = 0;
    int known = 0;
    for (const BalanceMember &other : m_input.members) {
        if (other.eligible && other.serviceTime > Duration::zero()) {
            total += static_cast<double>(other.serviceTime.count());
            ++known;
        }
    }
    if (known == 0 || member.serviceTime == Duration::zero()) {
        return 1;
    }
    return std::clamp(total / known / static_cast<double>(member.serviceTime.count()), slowestSpeed, fastestSpeed);
}

void RangePlan::addMembers()
{
    for (const BalanceMember &member : m_input.members) {
        if (!member.eligible) {
            continue;
        }
        Holder holder;
        holder.slot = member.slot;
        holder.capacity = std::max(member.slots, 1U) * speedOf(member);
        m_holders.push_back(holder);
    }
    std::sort(m_holders.begin(), m_holders.end(), [](const Holder &left, const Holder &right) { return left.slot < right.slot; });
}

void RangePlan::addShards()
{
    const std::size_t count = m_input.map.shards.size();
    double total = 0;
    for (const std::uint64_t load : m_input.shardLoads) {
        total += static_cast<double>(load);
    }
    const double idle = total == 0 ? 1 : total / static_cast<double>(std::max<std::size_t>(count, 1)) * idleShardLoad;
    m_owners.assign(count, noMember);
    m_movable.assign(count, false);
    for (std::size_t shard = 0; shard < count; ++shard) {
        m_weights.push_back(static_cast<double>(m_input.shardLoads[shard]) + idle);
        const ShardOwnership &entry = m_input.map.shards[shard];
        const MemberSlot owner = entry.state == State::Unowned ? noMember : entry.state == State::Releasing ? entry.next : entry.owner;
        const auto holder = std::find_if(m_holders.begin(), m_holders.end(), [&](const Holder &other) { return other.slot == owner; });
        if (holder != m_holders.end()) {
            holder->load += m_weights[shard];
            m_owners[shard] = owner;
            m_movable[shard] = entry.state == State::Owned && !m_input.cooling[shard];
        } else if (entry.state == State::Releasing) {
            // The coordinator finds it another next owner.
            m_owners[shard] = owner;
        }
    }
}

double RangePlan::meanLoad() const
{
    double load = 0;
    double capacity = 0;
    for (const Holder &holder : m_holders) {
        load += holder.load;
        capacity += holder.capacity;
    }
    return capacity == 0 ? 0 : load / capacity;
}

void RangePlan::give(std::size_t shard, Holder &to)
{
    to.load += m_weights[shard];
    m_owners[shard] = to.slot;
    m_movable[shard] = false;
    m_moves.push_back({ShardIndex(static_cast<std::uint32_t>(shard)), to.slot});
}

void RangePlan::placeUnserved()
{
    if (m_holders.empty()) {
        return;
    }
    double unserved = 0;
    double capacity = 0;
    double held = 0;
    for (std::size_t shard = 0; shard < m_owners.size(); ++shard) {
        unserved += m_owners[shard] == noMember ? m_weights[shard] : 0;
    }
    for (const Holder &holder : m_holders) {
        capacity += holder.capacity;
        held += holder.load;
    }
    const double goal = (held + unserved) / capacity;
    // The one with most room first; each takes what follows until it has its part.
    std::vector<Holder *> order;
    for (Holder &holder : m_holders) {
        order.push_back(&holder);
    }
    std::stable_sort(order.begin(), order.end(), [&](const Holder *left, const Holder *right) {
        return goal * left->capacity - left->load > goal * right->capacity - right->load;
    });
    std::size_t next = 0;
    for (std::size_t shard = 0; shard < m_owners.size(); ++shard) {
        if (m_owners[shard] != noMember) {
            continue;
        }
        while (next + 1 < order.size() && order[next]->load + m_weights[shard] / 2 > goal * order[next]->capacity) {
            ++next;
        }
        give(shard, *order[next]);
    }
}

std::size_t RangePlan::runsOf(MemberSlot slot) const
{
    std::size_t runs = 0;
    for (std::size_t shard = 0; shard < m_owners.size(); ++shard) {
        const bool begins = shard == 0 || m_owners[shard - 1] != slot || m_input.map.shards[shard - 1].fence != m_input.map.shards[shard].fence;
        runs += m_owners[shard] == slot && begins ? 1 : 0;
    }
    return runs;
}

/** The fewest neighbouring shards of the member with about the wanted load; at least one, and empty where even that is too much. */
RangePlan::Slice RangePlan::bestSlice(const Holder &from, double wanted) const
{
    Slice best;
    Slice window;
    for (std::size_t shard = 0; shard < m_owners.size(); ++shard) {
        if (m_owners[shard] != from.slot || !m_movable[shard]) {
            window = Slice{shard + 1, shard + 1, 0};
            continue;
        }
        window.load += m_weights[shard];
        window.end = shard + 1;
        while (window.load > wanted * largestSlice && !window.isEmpty()) {
            window.load -= m_weights[window.first];
            ++window.first;
        }
        const bool nearer = window.load > best.load * 1.05;
        const bool shorter = window.load > best.load * 0.95 && window.end - window.first < best.end - best.first;
        if (!window.isEmpty() && (best.isEmpty() || nearer || shorter)) {
            best = window;
        }
    }
    return best;
}

/** Moves a slice of one member to another; the slice that moved is empty where none fits. */
RangePlan::Slice RangePlan::moveSlice(Holder &from, Holder &to, double mean, std::size_t budget)
{
    const double wanted = std::min(from.load - mean * from.capacity, mean * to.capacity - to.load);
    const Slice slice = bestSlice(from, wanted);
    if (slice.isEmpty() || slice.end - slice.first > budget) {
        return Slice();
    }
    from.load -= slice.load;
    for (std::size_t shard = slice.first; shard < slice.end; ++shard) {
        give(shard, to);
    }
    return slice;
}

void RangePlan::level()
{
    const double mean = meanLoad();
    std::size_t budget = m_input.moveBudget;
    const auto byRatio = [&](const Holder *left, const Holder *right) { return left->ratio(mean) < right->ratio(mean); };
    // Members that can give or take no more are left out: one that has a single busy shard must not keep the others uneven.
    std::vector<Holder *> givers;
    std::vector<Holder *> takers;
    for (Holder &holder : m_holders) {
        givers.push_back(&holder);
        takers.push_back(&holder);
    }
    // More rounds would move on loads that are out of date.
    std::size_t rounds = m_holders.size();
    while (rounds > 0 && mean > 0 && !givers.empty() && !takers.empty()) {
        const auto from = std::max_element(givers.begin(), givers.end(), byRatio);
        const auto to = std::min_element(takers.begin(), takers.end(), byRatio);
        if ((*from)->ratio(mean) < m_input.document.targetRatio) {
            return;
        }
        if (runsOf((*to)->slot) + 1 >= maximumRuns) {
            takers.erase(to);
            continue;
        }
        const Slice moved = runsOf((*from)->slot) + 1 >= maximumRuns ? Slice() : moveSlice(**from, **to, mean, budget);
        if (moved.isEmpty()) {
            givers.erase(from);
            continue;
        }
        budget -= moved.end - moved.first;
        --rounds;
    }
}

} // namespace

std::vector<PlannedMove> RangeStrategy::plan(const BalanceInput &input) const
{
    RangePlan plan(input);
    plan.placeUnserved();
    plan.level();
    return plan.moves();
}

} // namespace nutmeghinge
