#pragma once

#include "ids.h"
#include "pseudorandom.h"
#include "units.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace nutmeghinge {

class OwnershipView;
struct MemberLoad;
struct Request;

/**
 * Chooses a member for a request of a service that is not sharded. Load is the
 * time that a further request is expected to take: requests in flight per slot,
 * weighted by how long the member's target takes for a request, since targets of
 * one service differ in speed and are slow after their start; of a large answer
 * also what the member's network link still has to send. Reports of load are
 * old by a second, in which all nodes would send their requests to the member
 * that reported least; so the choice is the less loaded of two random members.
 * They are of this node's zone if the chosen one has capacity left or the zone is
 * no more loaded than the other zones, otherwise of all zones.
 */
class ReplicaChoice
{
public:
    /** service: the service whose members are candidates; if empty, all members are. */
    explicit ReplicaChoice(std::uint64_t seed, ServiceName service = ServiceName());

    /** Makes the next choice read members, loads and document again, because they may have changed. */
    void invalidate() { m_stale = true; }
    /** Sets the state of this node's own target. */
    void setOwnTarget(std::uint32_t queued, bool healthy);
    /** Counts a request that this node sent to the member, which may be this node itself. */
    void attemptStarted(MemberSlot member) { ++m_inFlight[member]; }
    /** Removes a request from the count because its attempt at the member has ended. */
    void attemptEnded(MemberSlot member);
    /** Returns a member other than the one that the request was last sent to, if there is another; nothing if no member may serve the request. */
    std::optional<MemberSlot> choose(const OwnershipView &ownership, const Request &request, MonotonicTime now, WallTime wallTime);
    /**
     * Returns a member whose target is expected to end the request in the rest of its time, although the one that it was last sent to
     * did not end it in request.expiredWork; nothing if there is none.
     */
    std::optional<MemberSlot> chooseFaster(const OwnershipView &ownership, const Request &request, MonotonicTime now, WallTime wallTime);
    /**
     * Returns the member for a request with an Idempotency-Key, so that its
     * repeats reach the same member. All nodes choose the same member for the
     * same hash, as long as the members that may serve stay the same.
     */
    std::optional<MemberSlot> chooseForKey(const OwnershipView &ownership, std::uint64_t keyHash, MonotonicTime now, WallTime wallTime);
    /**
     * Returns the member for a request under which a target crashed. All nodes choose the same one, so that the request does not
     * run at several targets at a time, unless it was sent there before.
     */
    std::optional<MemberSlot> chooseForSuspect(const OwnershipView &ownership, const Request &request, MonotonicTime now, WallTime wallTime);

private:
    struct Candidate {
        MemberSlot slot;
        bool isSelf = false;
        bool ownZone = false;
        bool healthy = true;
        std::uint32_t slots = 1;
        /** Requests in flight and queued, from the member's last load report. */
        std::uint32_t reportedRequests = 0;
        /** Time that the member's target takes for a request, as a ratio to the mean of the known members. */
        double slowness = 1;
        /** Time that the member's link takes for the answers that it has to send, per time at which it counts as busy. */
        double linkLoad = 0;
    };

    void refresh(const OwnershipView &ownership, MonotonicTime now, WallTime wallTime);
    void setSlowness(const std::vector<MemberLoad> &loads);
    std::uint32_t inFlight(const Candidate &candidate) const;
    double load(const Candidate &candidate, const Request &request) const;
    bool hasCapacity(const Candidate &candidate, const Request &request) const;
    bool isOwnZoneMoreLoaded() const;
    bool isMoreLoaded(const Candidate &a, const Candidate &b, const Request &request) const;
    /** Returns the less loaded of two random candidates; there must be at least one. */
    const Candidate &chooseBetterOfTwo(const std::vector<const Candidate *> &candidates, const Request &request);

    PseudoRandom m_random;
    ServiceName m_service;
    bool m_stale = true;
    std::uint32_t m_ownQueued = 0;
    bool m_ownHealthy = true;
    std::vector<Candidate> m_candidates;
    /** Requests in flight from this node, by member. */
    std::unordered_map<MemberSlot, std::uint32_t> m_inFlight;
};

} // namespace nutmeghinge
