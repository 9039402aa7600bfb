#pragma once

#include "ids.h"
#include "timings.h"
#include "units.h"

namespace nutmeghinge {

/**
 * A member's promise to follow one candidate. Exclusive until it lapses: no
 * higher term of another candidate ends it early. Kept in memory alone, so a
 * restarted node promises nothing until every promise of its earlier run has
 * lapsed.
 */
class PromiseKeeper
{
public:
    PromiseKeeper(const Timings &timings, MonotonicTime startedAt);

    /** Promises to follow the candidate, or renews the promise; false where it must be refused. */
    bool promise(Term term, MemberSlot candidate, MonotonicTime now);
    /**
     * Another candidate asked for a promise that was refused. Soon after the start of this node it may be a coordinator that
     * others follow, so that this node stands no sooner than one promise later.
     */
    void heardOther(MonotonicTime now);
    /** Time until which this node leaves the standing to the candidate that it heard. */
    MonotonicTime otherUntil() const { return m_otherUntil; }
    /** Another candidate's term is known; later terms of this node go above it. */
    /**
     * The candidate, this node itself, gave up without having been in office in the term: a coordinator of a lower term,
     * which the others follow, can be followed again.
     */
    void withdraw(Term term, MemberSlot candidate, MonotonicTime now);
    void sawTerm(Term term);
    /** The target knows a fence of this term; the coordinator has to go above it. */
    void sawFence(Term term);

    /** Term of the latest promise; 0 before the first. */
    Term term() const { return m_term; }
    /** Candidate of the latest promise; noMember before the first. */
    MemberSlot candidate() const { return m_candidate; }
    /** Highest term seen in any message. */
    Term highestTerm() const { return m_highestTerm; }
    /** Highest term of a fence that the target named. */
    Term fenceTerm() const { return m_fenceTerm; }
    /** Time until which no other candidate gets a promise. */
    MonotonicTime boundUntil() const;

private:
    Duration m_length;
    MonotonicTime m_quietUntil;
    MonotonicTime m_until;
    MonotonicTime m_otherUntil;
    MemberSlot m_candidate;
    Term m_term;
    /** Term that was followed before this one. */
    Term m_termBefore;
    Term m_highestTerm;
    Term m_fenceTerm;
};

} // namespace nutmeghinge
