#include "coordinatorterm.h"

#include "memberlist.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

/** Number of terms per counter value, one for each slot. */
constexpr std::uint64_t slotsPerCounter = 65536;
/** More than the elections that 64 members can start within the platform's hold limit of 12 s, if each starts one at most every 300 ms. */
constexpr std::uint64_t countersPerHoldLimit = 4096;
/** More than the takeovers of a cell, one after the other, within the few seconds by which a copy of the table is older. */
constexpr std::uint64_t takeoversPerEpoch = 8;

} // namespace

CoordinatorTerm::CoordinatorTerm(const Timings &timings)
    : m_voteDuration(timings.voteDuration)
    , m_voteRenewal(timings.voteRenewal)
{
}

Term CoordinatorTerm::next(Term highest, MemberSlot slot)
{
    return Term((highest.value() / slotsPerCounter + 1) * slotsPerCounter + slot.value() % slotsPerCounter);
}

Term CoordinatorTerm::termBeyondHoldLimit(Term written)
{
    return Term(written.value() + countersPerHoldLimit * slotsPerCounter);
}

Term CoordinatorTerm::termBeyondRestorations(Term written, std::uint64_t epochs)
{
    return Term(written.value() + epochs * takeoversPerEpoch * countersPerHoldLimit * slotsPerCounter);
}

MemberSlot CoordinatorTerm::slotOf(Term term)
{
    return MemberSlot(static_cast<std::uint32_t>(term.value() % slotsPerCounter));
}

void CoordinatorTerm::startElection(Term term, MonotonicTime now)
{
    m_state = State::Candidate;
    m_term = term;
    m_electionStartedAt = now;
    m_nextRequest = now;
    m_voteExpiry.clear();
    m_newestMap = OwnershipMap();
    m_newestDocument = DocumentRevision();
}

void CoordinatorTerm::end()
{
    m_state = State::Follower;
    m_voteExpiry.clear();
}

void CoordinatorTerm::addOwnVote(MemberSlot self, MonotonicTime requestedAt)
{
    m_voteExpiry[self] = requestedAt + m_voteDuration;
}

void CoordinatorTerm::addVote(MemberSlot from, const VoteAnswer &answer)
{
    if (!answer.map && !answer.hasNoNewerMap && !m_voteExpiry.contains(from)) {
        return;
    }
    MonotonicTime &until = m_voteExpiry[from];
    until = std::max(until, answer.sentAt + m_voteDuration);
    if (answer.map && answer.map->version > m_newestMap.version) {
        m_newestMap = *answer.map;
    }
    m_newestDocument = std::max(m_newestDocument, answer.document);
}

bool CoordinatorTerm::hasVoteFrom(MemberSlot slot, MonotonicTime now) const
{
    const auto vote = m_voteExpiry.find(slot);
    return vote != m_voteExpiry.end() && now < vote->second;
}

bool CoordinatorTerm::hasMajority(const MemberList &members, MonotonicTime now) const
{
    return members.isMajority([&](MemberSlot slot) { return hasVoteFrom(slot, now); }, now);
}

bool CoordinatorTerm::hasMajorityOfAll(const MemberList &members, MonotonicTime now) const
{
    return members.isMajorityOfAll([&](MemberSlot slot) { return hasVoteFrom(slot, now); });
}

MonotonicTime CoordinatorTerm::endsAt(const MemberList &members, MonotonicTime now) const
{
    const auto expiryOf = [this](MemberSlot slot) {
        const auto vote = m_voteExpiry.find(slot);
        return vote == m_voteExpiry.end() ? MonotonicTime() : vote->second;
    };
    return members.majorityValue<MonotonicTime>(expiryOf, now);
}

} // namespace nutmeghinge
