#include "moveplanner.h"

#include "document.h"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace nutmeghinge {

namespace {

/** Minimum load counted for a shard, in requests per second times 1000, so that idle shards are distributed by number. */
constexpr double minimumShardLoad = 100;
/** Minimum load counted for a shard, as a fraction of the mean load of a shard. */
constexpr double minimumShardLoadOfMean = 0.05;
/** Minimum fraction of a cold member's slots that is counted. */
constexpr double minimumColdShare = 0.05;
/** Members that leave later than this from now are treated as staying. */
constexpr std::chrono::hours shrinkHorizon{1};
/** Minimum fraction by which a move must lower the higher load per slot of the two members. */
constexpr double minimumGain = 1e-6;

WallTime staysUntil(const BalanceMember &member, const std::optional<WallTime> &now)
{
    if (!member.leavesAt || (now && *member.leavesAt > *now + shrinkHorizon)) {
        return WallTime::max();
    }
    return *member.leavesAt;
}

/**
 * Returns the time for which a member must be eligible until its slots count in full: the document's slow start, but no longer than
 * the longest time that any member has been eligible, so that a new cell is not treated as one of cold members.
 */
Duration warmUpTime(const BalanceInput &input)
{
    Duration longest{0};
    for (const BalanceMember &member : input.members) {
        if (member.eligible) {
            longest = std::max(longest, member.eligibleFor);
        }
    }
    return std::min(longest, input.document.slowStart);
}

/** Returns the fraction of the member's slots that is counted. */
double shareOfSlots(const BalanceMember &member, Duration warmUp)
{
    if (member.eligibleFor >= warmUp) {
        return 1;
    }
    const double share = static_cast<double>(member.eligibleFor.count()) / static_cast<double>(warmUp.count());
    return std::max(share, minimumColdShare);
}

} // namespace

MovePlanner::MovePlanner(const BalanceInput &input)
    : m_input(input)
{
    assert(input.shardLoads.size() == input.map.shards.size());
    assert(input.cooling.size() == input.map.shards.size());
    addMembers();
    weighShards();
    addShards();
}

void MovePlanner::addMembers()
{
    const Duration warmUp = warmUpTime(m_input);
    for (const BalanceMember &member : m_input.members) {
        if (!member.eligible) {
            continue;
        }
        MemberState state;
        state.slot = member.slot;
        state.staysUntil = staysUntil(member, m_input.now);
        state.capacity = std::max(member.slots, 1U) * shareOfSlots(member, warmUp);
        m_members.push_back(std::move(state));
    }
}

void MovePlanner::weighShards()
{
    double total = 0;
    for (const std::uint64_t load : m_input.shardLoads) {
        total += static_cast<double>(load);
    }
    const double mean = m_input.shardLoads.empty() ? 0 : total / static_cast<double>(m_input.shardLoads.size());
    const double minimum = std::max(minimumShardLoad, mean * minimumShardLoadOfMean);
    for (const std::uint64_t load : m_input.shardLoads) {
        m_weights.push_back(std::max(static_cast<double>(load), minimum));
    }
}

void MovePlanner::addShards()
{
    for (std::size_t shard = 0; shard < m_input.map.shards.size(); ++shard) {
        if (!isInUse(shard)) {
            continue;
        }
        const ShardOwnership &ownership = m_input.map.shards[shard];
        const bool isReleasing = ownership.state == ShardOwnership::State::Releasing;
        const bool isOwned = ownership.state == ShardOwnership::State::Owned;
        const std::optional<std::size_t> holder = memberAt(isReleasing ? ownership.next : ownership.owner);
        if (!isReleasing && (!isOwned || !holder)) {
            m_unserved.push_back(shard);
            continue;
        }
        if (!holder) {
            continue;
        }
        MemberState &member = m_members[*holder];
        member.load += m_weights[shard];
        if (isOwned && !m_input.cooling[shard]) {
            member.movable.push_back(shard);
        }
    }
}

bool MovePlanner::isInUse(std::size_t shard) const
{
    const std::size_t keyed = m_input.document.shards;
    if (shard < keyed || shard - keyed >= m_input.map.hotKeys.size()) {
        return true;
    }
    return m_input.map.hotKeys[shard - keyed] != 0;
}

std::optional<std::size_t> MovePlanner::memberAt(MemberSlot slot) const
{
    const auto found = std::find_if(m_members.begin(), m_members.end(), [&](const MemberState &member) { return member.slot == slot; });
    if (found == m_members.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - m_members.begin());
}

void MovePlanner::placeUnserved()
{
    if (m_members.empty()) {
        return;
    }
    std::stable_sort(m_unserved.begin(), m_unserved.end(), [&](std::size_t left, std::size_t right) { return m_weights[left] > m_weights[right]; });
    for (const std::size_t shard : m_unserved) {
        MemberState &member = m_members[leastLoadedLongestStaying(m_weights[shard])];
        member.load += m_weights[shard];
        m_moves.push_back({ShardIndex(static_cast<std::uint32_t>(shard)), member.slot});
    }
    m_unserved.clear();
}

std::size_t MovePlanner::leastLoadedLongestStaying(double weight) const
{
    std::size_t best = 0;
    for (std::size_t i = 1; i < m_members.size(); ++i) {
        const MemberState &member = m_members[i];
        const MemberState &bestMember = m_members[best];
        if (member.staysUntil != bestMember.staysUntil) {
            best = member.staysUntil > bestMember.staysUntil ? i : best;
        } else if (member.loadPerSlotAfter(weight) < bestMember.loadPerSlotAfter(weight)) {
            best = i;
        }
    }
    return best;
}

void MovePlanner::balance(Band outer, Band inner)
{
    Band band = outer;
    for (std::uint32_t moved = 0; moved < m_input.moveBudget; ++moved) {
        const std::optional<Candidate> move = findMove(band);
        if (!move) {
            return;
        }
        apply(*move);
        band = inner;
    }
}

std::optional<MovePlanner::Candidate> MovePlanner::findMove(Band band) const
{
    const std::vector<std::size_t> byLoad = membersByLoad();
    for (auto from = byLoad.rbegin(); from != byLoad.rend(); ++from) {
        if (const std::optional<Candidate> move = findMoveFrom(*from, band)) {
            return move;
        }
    }
    return std::nullopt;
}

std::optional<MovePlanner::Candidate> MovePlanner::findMoveFrom(std::size_t from, Band band) const
{
    const MemberState &source = m_members[from];
    const double mean = meanLoadPerSlotFor(source);
    if (source.loadPerSlot() <= mean) {
        return std::nullopt;
    }
    const bool isOverloaded = source.loadPerSlot() > band.highest * mean;
    for (const std::size_t to : membersByLoad()) {
        const MemberState &destination = m_members[to];
        if (destination.staysUntil < source.staysUntil || to == from) {
            continue;
        }
        if (!isOverloaded && destination.loadPerSlot() >= band.lowest * mean) {
            continue;
        }
        if (const std::optional<Candidate> move = bestShard(from, to)) {
            return move;
        }
    }
    return std::nullopt;
}

std::optional<MovePlanner::Candidate> MovePlanner::bestShard(std::size_t from, std::size_t to) const
{
    const MemberState &source = m_members[from];
    const MemberState &destination = m_members[to];
    std::optional<Candidate> best;
    for (std::size_t position = 0; position < source.movable.size(); ++position) {
        const double weight = m_weights[source.movable[position]];
        const double peak = std::max(source.loadPerSlotAfter(-weight), destination.loadPerSlotAfter(weight));
        if (peak < source.loadPerSlot() * (1 - minimumGain) && (!best || peak < best->peak)) {
            best = Candidate{from, to, position, peak};
        }
    }
    return best;
}

/** Returns the mean load per slot of the members that stay at least as long as the given one, including it. */
double MovePlanner::meanLoadPerSlotFor(const MemberState &from) const
{
    double load = 0;
    double capacity = 0;
    for (const MemberState &member : m_members) {
        if (member.staysUntil >= from.staysUntil) {
            load += member.load;
            capacity += member.capacity;
        }
    }
    return load / capacity;
}

std::vector<std::size_t> MovePlanner::membersByLoad() const
{
    std::vector<std::size_t> order(m_members.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(
        order.begin(), order.end(), [&](std::size_t left, std::size_t right) { return m_members[left].loadPerSlot() < m_members[right].loadPerSlot(); });
    return order;
}

void MovePlanner::apply(const Candidate &move)
{
    MemberState &source = m_members[move.from];
    MemberState &destination = m_members[move.to];
    const std::size_t shard = source.movable[move.position];
    source.movable.erase(source.movable.begin() + static_cast<std::ptrdiff_t>(move.position));
    source.load -= m_weights[shard];
    destination.load += m_weights[shard];
    m_moves.push_back({ShardIndex(static_cast<std::uint32_t>(shard)), destination.slot});
}

} // namespace nutmeghinge
