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
 * This node's candidature for coordinator and its term: a lease made of the
 * promises of a majority, each counted from when this node asked.
 */
class CoordinatorTerm
{
public:
    enum class State : std::uint8_t {
        Follower,
        Candidate,
        InOffice,
    };

    explicit CoordinatorTerm(const Timings &timings);

    State state() const { return m_state; }
    Term term() const { return m_term; }
    /** First term of the slot that is above the given one. */
    static Term next(Term highest, MemberSlot slot);
    /** Slot of the candidate that the term belongs to. */
    static MemberSlot slotOf(Term term);
    /** Above every term that the cell can have reached by itself since a row with the given highest term was written. */
    static Term beyondHoldLimit(Term written);

    /** Becomes a candidate for the term. */
    void stand(Term term, MonotonicTime now);
    void takeOffice() { m_state = State::InOffice; }
    /** Gives the term or the candidature up. */
    void end();
    /** The promises are to be asked for again. */
    bool isRenewalDue(MonotonicTime now) const { return m_state != State::Follower && now >= m_nextRequest; }
    void requested(MonotonicTime now) { m_nextRequest = now + m_renewal; }
    /** No majority promised within the length of a promise. */
    bool hasFailed(MonotonicTime now) const { return m_state == State::Candidate && now >= m_stoodAt + m_promise; }

    /** This node promised itself. */
    void addOwnPromise(MemberSlot self, MonotonicTime askedAt);
    /** A member promised. Its promise counts once its knowledge of the map has come with one. */
    void addPromise(MemberSlot from, const PromiseAnswer &answer);
    bool isPromisedBy(MemberSlot slot, MonotonicTime now) const;
    bool hasMajority(const MemberList &members, MonotonicTime now) const;
    /** A majority of all members has promised, those proved ended counted. */
    bool hasMajorityOfAll(const MemberList &members, MonotonicTime now) const;
    /** Time at which the majority lapses without a renewal. */
    MonotonicTime endsAt(const MemberList &members, MonotonicTime now) const;

    /** Newest map that the promising members know. */
    const OwnershipMap &newestMap() const { return m_newestMap; }
    /** Highest revision of the document that the promising members know. */
    DocumentRevision newestDocument() const { return m_newestDocument; }

private:
    Duration m_promise;
    Duration m_renewal;
    State m_state = State::Follower;
    Term m_term;
    MonotonicTime m_stoodAt;
    MonotonicTime m_nextRequest;
    /** Ends of the promises of this node and of the members whose map is known. */
    std::map<MemberSlot, MonotonicTime> m_promisedUntil;
    OwnershipMap m_newestMap;
    DocumentRevision m_newestDocument;
};

} // namespace nutmeghinge
