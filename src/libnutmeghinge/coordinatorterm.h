#pragma once

#include "ids.h"
#include "ownershipmap.h"
#include "peermessages.h"
#include "timings.h"
#include "units.h"

#include <map>
#include <optional>

namespace nutmeghinge {

class MemberList;

/**
 * This node's election and its term as coordinator. A term lasts while a
 * majority of the members votes for this node. Each vote counts from when this
 * node sent the request.
 */
class CoordinatorTerm
{
public:
    enum class State : std::uint8_t {
        Follower,
        Candidate,
        Coordinator,
    };

    explicit CoordinatorTerm(const Timings &timings);

    State state() const { return m_state; }
    Term term() const { return m_term; }
    /** Returns the next term of the slot above the given term. A term contains a counter and the slot of its candidate, so no two candidates share one. */
    static Term next(Term highest, MemberSlot slot);
    /** Returns the slot of the candidate that the term belongs to. */
    static MemberSlot slotOf(Term term);
    /** Returns a term above all that the cell can have reached within the hold limit after its row was written. written: highest term in that row. */
    static Term termBeyondHoldLimit(Term written);

    /**
     * Returns a term above all that the cell can have reached in lost writes of its row, after restorations of the table.
     * written: highest term in the row that is left; epochs: number of epochs that began after that row was written.
     */
    static Term termBeyondRestorations(Term written, std::uint64_t epochs);

    /** Becomes a candidate for the term and drops the votes of earlier terms. */
    void startElection(Term term, MonotonicTime now);
    void becomeCoordinator() { m_state = State::Coordinator; }
    /** Ends the term or the election; this node becomes a follower. */
    void end();
    /** Returns whether the votes must be requested again. */
    bool isRenewalDue(MonotonicTime now) const { return m_state != State::Follower && now >= m_nextRequest; }
    /** Schedules the next request for votes, one renewal interval after the given time. */
    void scheduleRenewal(MonotonicTime now) { m_nextRequest = now + m_voteRenewal; }
    /** Returns whether the election ran for the duration of a vote without a majority. */
    bool hasElectionFailed(MonotonicTime now) const { return m_state == State::Candidate && now >= m_electionStartedAt + m_voteDuration; }

    /** Adds this node's vote for itself. */
    void addOwnVote(MemberSlot self, MonotonicTime requestedAt);
    /** Adds or renews a member's vote. The member's votes are ignored until one of its answers has contained the newest map that it knows. */
    void addVote(MemberSlot from, const VoteAnswer &answer);
    /** Returns whether the member's vote has not expired. */
    bool hasVoteFrom(MemberSlot slot, MonotonicTime now) const;
    /** Returns whether a majority of the members that count for majorities votes for this node. */
    bool hasMajority(const MemberList &members, MonotonicTime now) const;
    /** Like hasMajority(), but members that have ended count as well. */
    bool hasMajorityOfAll(const MemberList &members, MonotonicTime now) const;
    /** Returns the time at which the majority of votes expires unless renewed. */
    MonotonicTime endsAt(const MemberList &members, MonotonicTime now) const;

    /** Returns the newest map known to the members that voted. */
    const OwnershipMap &newestMap() const { return m_newestMap; }
    /** Returns the highest document revision known to the members that voted. */
    DocumentRevision newestDocument() const { return m_newestDocument; }

private:
    Duration m_voteDuration;
    Duration m_voteRenewal;
    State m_state = State::Follower;
    Term m_term;
    MonotonicTime m_electionStartedAt;
    MonotonicTime m_nextRequest;
    /** Expiry of the votes of this node and of the members whose map is known. */
    std::map<MemberSlot, MonotonicTime> m_voteExpiry;
    OwnershipMap m_newestMap;
    DocumentRevision m_newestDocument;
};

} // namespace nutmeghinge
