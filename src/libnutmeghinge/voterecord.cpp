#include "voterecord.h"

#include <algorithm>

namespace nutmeghinge {

VoteRecord::VoteRecord(const Timings &timings, MonotonicTime startedAt)
    : m_voteDuration(timings.withDrift(timings.voteDuration))
    , m_noVotesUntil(startedAt + timings.startupVoteDurations * m_voteDuration)
    , m_voteExpiry(startedAt)
{
}

bool VoteRecord::grantVote(Term term, MemberSlot candidate, MonotonicTime now)
{
    recordTerm(term);
    if (now < m_noVotesUntil || term < m_term) {
        return false;
    }
    if (candidate != m_candidate && (now < m_voteExpiry || term == m_term)) {
        return false;
    }
    if (term != m_term) {
        m_previousTerm = m_term;
    }
    m_term = term;
    m_candidate = candidate;
    m_voteExpiry = now + m_voteDuration;
    return true;
}

void VoteRecord::postponeElection(MonotonicTime now)
{
    if (now < m_noVotesUntil) {
        m_electionPostponedUntil = now + m_voteDuration;
    }
}

void VoteRecord::withdrawVote(Term term, MemberSlot candidate, MonotonicTime now)
{
    if (m_term != term || m_candidate != candidate) {
        return;
    }
    m_term = m_previousTerm;
    m_candidate = noMember;
    m_voteExpiry = std::min(m_voteExpiry, now);
}

void VoteRecord::recordTerm(Term term)
{
    m_highestTerm = std::max(m_highestTerm, term);
}

void VoteRecord::recordFenceTerm(Term term)
{
    m_fenceTerm = std::max(m_fenceTerm, term);
    recordTerm(term);
}

MonotonicTime VoteRecord::committedUntil() const
{
    return std::max(m_noVotesUntil, m_voteExpiry);
}

} // namespace nutmeghinge
