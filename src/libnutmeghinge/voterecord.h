#pragma once

#include "ids.h"
#include "timings.h"
#include "units.h"

namespace nutmeghinge {

/**
 * This member's vote for one candidate. The vote is exclusive until it expires,
 * even if another candidate requests it with a higher term. It is held in memory
 * only, so a restarted node grants no vote until the votes of its earlier
 * incarnation have expired.
 */
class VoteRecord
{
public:
    VoteRecord(const Timings &timings, MonotonicTime startedAt);

    /** Votes for the candidate or renews the vote. Returns false if the vote must be refused. */
    bool grantVote(Term term, MemberSlot candidate, MonotonicTime now);
    /**
     * Postpones this node's own election by the duration of a vote after it refused another candidate a vote. Only has an effect while
     * this node grants no votes after its start: the other candidate may be a coordinator that the other members follow.
     */
    void postponeElection(MonotonicTime now);
    /** Returns the time until which this node starts no election, because another candidate requested its vote. */
    MonotonicTime electionPostponedUntil() const { return m_electionPostponedUntil; }
    /**
     * Withdraws this node's vote for itself after an unsuccessful election, so that it can vote again for a coordinator of a lower term that
     * the other members follow.
     */
    void withdrawVote(Term term, MemberSlot candidate, MonotonicTime now);
    /** Records a term seen in a message; later terms of this node are above it. */
    void recordTerm(Term term);
    /** Records the term of a fence that the target reported; the coordinator's term must be above it. */
    void recordFenceTerm(Term term);

    /** Returns the term of the latest vote; 0 before the first. */
    Term term() const { return m_term; }
    /** Returns the candidate of the latest vote; noMember before the first. */
    MemberSlot candidate() const { return m_candidate; }
    /** Returns the highest term seen in any message. */
    Term highestTerm() const { return m_highestTerm; }
    /** Returns the highest term of a fence that the target reported. */
    Term fenceTerm() const { return m_fenceTerm; }
    /** Returns the time until which no other candidate gets this node's vote. */
    MonotonicTime committedUntil() const;

private:
    Duration m_voteDuration;
    MonotonicTime m_noVotesUntil;
    MonotonicTime m_voteExpiry;
    MonotonicTime m_electionPostponedUntil;
    MemberSlot m_candidate;
    Term m_term;
    /** Term of the vote before the latest one. */
    Term m_previousTerm;
    Term m_highestTerm;
    Term m_fenceTerm;
};

} // namespace nutmeghinge
