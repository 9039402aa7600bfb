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
struct Request;

/**
 * Chooses a member for a request of a service that is not divided by key: the
 * emptiest of this node's zone by requests in flight per slot, while that has
 * room or its zone is no fuller than the rest; else the better of two random ones.
 */
class ReplicaChoice
{
public:
    /** Chooses among the members of the service; empty: among all members. */
    explicit ReplicaChoice(std::uint64_t seed, ServiceName service = ServiceName());

    /** Members, loads or document may have changed: they are read again at the next choice. */
    void invalidate() { m_stale = true; }
    /** State of this node's own target. */
    void setOwnTarget(std::uint32_t queued, bool healthy);
    /** This node sent a request to the member, itself included. */
    void started(MemberSlot member) { ++m_started[member]; }
    void ended(MemberSlot member);
    /** Never the member that the request was last sent to, unless there is no other; nothing where no member may serve. */
    std::optional<MemberSlot> choose(const OwnershipView &ownership, const Request &request, MonotonicTime now, WallTime wallTime);
    /**
     * The same member for the same hash at every node, as long as the members
     * that may serve stay the same; for requests whose repeats must meet.
     */
    std::optional<MemberSlot> chooseForKey(const OwnershipView &ownership, std::uint64_t keyHash, MonotonicTime now, WallTime wallTime);

private:
    struct Candidate {
        MemberSlot slot;
        bool isSelf = false;
        bool ownZone = false;
        bool healthy = true;
        std::uint32_t slots = 1;
        std::uint32_t reported = 0;
    };

    void refresh(const OwnershipView &ownership, MonotonicTime now, WallTime wallTime);
    std::uint32_t inFlight(const Candidate &candidate) const;
    bool hasRoom(const Candidate &candidate, const Request &request) const;
    bool ownZoneIsFuller() const;
    bool isFuller(const Candidate &a, const Candidate &b) const;
    std::optional<MemberSlot> betterOfTwo(const std::vector<const Candidate *> &candidates);

    PseudoRandom m_random;
    ServiceName m_service;
    bool m_stale = true;
    std::uint32_t m_ownQueued = 0;
    bool m_ownHealthy = true;
    std::vector<Candidate> m_candidates;
    std::unordered_map<MemberSlot, std::uint32_t> m_started;
};

} // namespace nutmeghinge
