#include "rangestrategy.h"

#include "document.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

using State = ShardOwnership::State;

/** Maximum number of runs of shards per member; keeps the answer to its target's heartbeat within 4 KiB. */
constexpr std::size_t maximumRuns = 40;
/** Limits of a member's relative speed, so that a few slow answers do not move all of its shards away. */
constexpr double slowestSpeed = 0.4;
constexpr double fastestSpeed = 2;
/** Load added to every shard, as a fraction of the mean load of a shard, so that idle shards are distributed by number. */
constexpr double idleShardLoad = 0.2;
/** Maximum load of a moved slice, as a ratio to the load that should move. */
constexpr double largestSlice = 1.1;

/** Working copy of the shard ownership during planning. */
class RangePlan
{
public:
    explicit RangePlan(const BalanceInput &input);

    void placeUnserved();
    void balance();
    const std::vector<PlannedMove> &moves() const { return m_moves; }

private:
    /** An eligible member. */
    struct Holder {
        MemberSlot slot;
        /** Number of slots, weighted by the relative speed of the target. */
        double capacity = 1;
        double load = 0;

        double ratio(double mean) const { return load / capacity / mean; }
    };

    /** Adjacent shards that may move together. */
    struct Slice {
        std::size_t first = 0;
        std::size_t end = 0;
        double load = 0;

        bool isEmpty() const { return first == end; }
    };

    double speedOf(const BalanceMember &member) const;
    void addMembers();
    void addShards();
    void assign(std::size_t shard, Holder &to);
    double meanLoadPerCapacity() const;
    std::size_t runsOf(MemberSlot slot) const;
    /** Returns whether the shard continues the run of the one before it: the same owner holds both under one fence. */
    bool continuesRun(std::size_t shard) const;
    Slice bestSlice(const Holder &from, double wanted) const;
    Slice bestRun(const Holder &from, double wanted) const;
    Slice moveSlice(Holder &from, Holder &to, double mean, std::size_t budget);

    const BalanceInput &m_input;
    std::vector<Holder> m_holders;
    std::vector<double> m_weights;
    /** Current owner by shard, or the next owner of a shard being released; noMember if no member may serve the shard. */
    std::vector<MemberSlot> m_owners;
    /** True for shards that may be moved to balance the load. */
    std::vector<bool> m_movable;
    std::vector<PlannedMove> m_moves;
};

RangePlan::RangePlan(const BalanceInput &input)
    : m_input(input)
{
    addMembers();
    addShards();
}

/** Returns the speed of the member's target relative to the mean of all members, based on their service times. */
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
            // The coordinator chooses another next owner for it.
            m_owners[shard] = owner;
        }
    }
}

double RangePlan::meanLoadPerCapacity() const
{
    double load = 0;
    double capacity = 0;
    for (const Holder &holder : m_holders) {
        load += holder.load;
        capacity += holder.capacity;
    }
    return capacity == 0 ? 0 : load / capacity;
}

void RangePlan::assign(std::size_t shard, Holder &to)
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
    // Starts with the member with the most spare capacity; each member takes consecutive shards until it has its share.
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
        assign(shard, *order[next]);
    }
}

bool RangePlan::continuesRun(std::size_t shard) const
{
    return shard > 0 && m_owners[shard - 1] == m_owners[shard] && m_input.map.shards[shard - 1].fence == m_input.map.shards[shard].fence;
}

std::size_t RangePlan::runsOf(MemberSlot slot) const
{
    std::size_t runs = 0;
    for (std::size_t shard = 0; shard < m_owners.size(); ++shard) {
        runs += m_owners[shard] == slot && !continuesRun(shard) ? 1 : 0;
    }
    return runs;
}

/** Returns the shortest slice of the member with about the wanted load; empty if every single movable shard exceeds the wanted load. */
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
        const bool closer = window.load > best.load * 1.05;
        const bool shorter = window.load > best.load * 0.95 && window.end - window.first < best.end - best.first;
        if (!window.isEmpty() && (best.isEmpty() || closer || shorter)) {
            best = window;
        }
    }
    return best;
}

/** Returns the member's run with the highest load up to about the wanted one; empty if every run exceeds it or has a shard that may not move. */
RangePlan::Slice RangePlan::bestRun(const Holder &from, double wanted) const
{
    Slice best;
    for (std::size_t first = 0; first < m_owners.size();) {
        Slice run{first, first + 1, m_weights[first]};
        bool movable = m_owners[first] == from.slot && m_movable[first];
        for (; run.end < m_owners.size() && continuesRun(run.end); ++run.end) {
            run.load += m_weights[run.end];
            movable = movable && m_movable[run.end];
        }
        if (movable && run.load <= wanted * largestSlice && (best.isEmpty() || run.load > best.load)) {
            best = run;
        }
        first = run.end;
    }
    return best;
}

/** Moves a slice from one member to another. Returns the moved slice, which is empty if none fits. */
RangePlan::Slice RangePlan::moveSlice(Holder &from, Holder &to, double mean, std::size_t budget)
{
    const double wanted = std::min(from.load - mean * from.capacity, mean * to.capacity - to.load);
    // A member with too many runs gives whole ones, since a part of one would leave it as many or more.
    const Slice slice = runsOf(from.slot) + 1 >= maximumRuns ? bestRun(from, wanted) : bestSlice(from, wanted);
    if (slice.isEmpty() || slice.end - slice.first > budget) {
        return Slice();
    }
    from.load -= slice.load;
    for (std::size_t shard = slice.first; shard < slice.end; ++shard) {
        assign(shard, to);
    }
    return slice;
}

void RangePlan::balance()
{
    const double mean = meanLoadPerCapacity();
    std::size_t budget = m_input.moveBudget;
    const auto byRatio = [&](const Holder *left, const Holder *right) { return left->ratio(mean) < right->ratio(mean); };
    // Members that can give or take no more are excluded, so that one with a single busy shard does not prevent moves between others.
    std::vector<Holder *> sources;
    std::vector<Holder *> destinations;
    for (Holder &holder : m_holders) {
        sources.push_back(&holder);
        destinations.push_back(&holder);
    }
    // Limits the rounds, because further moves would be based on outdated loads.
    std::size_t rounds = m_holders.size();
    while (rounds > 0 && mean > 0 && !sources.empty() && !destinations.empty()) {
        const auto from = std::max_element(sources.begin(), sources.end(), byRatio);
        const auto to = std::min_element(destinations.begin(), destinations.end(), byRatio);
        if ((*from)->ratio(mean) < m_input.document.targetRatio) {
            return;
        }
        if (runsOf((*to)->slot) + 1 >= maximumRuns) {
            destinations.erase(to);
            continue;
        }
        const Slice moved = moveSlice(**from, **to, mean, budget);
        if (moved.isEmpty()) {
            sources.erase(from);
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
    plan.balance();
    return plan.moves();
}

} // namespace nutmeghinge
