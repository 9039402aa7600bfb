#include "replicachoice.h"

#include "document.h"
#include "member.h"
#include "memberload.h"
#include "ownershipview.h"
#include "request.h"
#include "shardof.h"

#include <algorithm>
#include <tuple>

namespace nutmeghinge {

namespace {

/** Percentage of its slots that a replica in this node's zone may have in use before other zones are considered; the rest is for large answers. */
constexpr std::uint64_t ownZoneUsePercent = 60;
/** The same for requests with large answers, for which waiting in this node's zone costs less than a transfer between zones. */
constexpr std::uint64_t ownZoneUsePercentForLargeAnswers = 150;
/** Time for the answers that a link has to send at which it counts as much as a target whose slots are all in use. */
constexpr std::chrono::duration<double> busyLinkWait{0.25};
/** Limits of a member's slowness, so that a few odd answers do not exclude it or bring it all requests. */
constexpr double leastSlowness = 0.4;
constexpr double mostSlowness = 4;

} // namespace

ReplicaChoice::ReplicaChoice(std::uint64_t seed, ServiceName service)
    : m_random(seed)
    , m_service(std::move(service))
{
}

void ReplicaChoice::setOwnTarget(std::uint32_t queued, bool healthy)
{
    m_ownQueued = queued;
    m_ownHealthy = healthy;
}

void ReplicaChoice::attemptEnded(MemberSlot member)
{
    const auto position = m_inFlight.find(member);
    if (position != m_inFlight.end() && --position->second == 0) {
        m_inFlight.erase(position);
    }
}

std::optional<MemberSlot> ReplicaChoice::choose(const OwnershipView &ownership, const Request &request, MonotonicTime now, WallTime wallTime)
{
    if (m_stale) {
        refresh(ownership, now, wallTime);
    }
    std::vector<const Candidate *> own;
    std::vector<const Candidate *> healthy;
    std::vector<const Candidate *> any;
    for (const Candidate &candidate : m_candidates) {
        if (candidate.slot == request.member) {
            continue;
        }
        any.push_back(&candidate);
        if (!(candidate.isSelf ? m_ownHealthy : candidate.healthy)) {
            continue;
        }
        healthy.push_back(&candidate);
        if (candidate.ownZone) {
            own.push_back(&candidate);
        }
    }
    if (!own.empty()) {
        const Candidate &chosen = chooseBetterOfTwo(own, request);
        if (hasCapacity(chosen, request) || !isOwnZoneMoreLoaded()) {
            return chosen.slot;
        }
    }
    for (const auto *candidates : {&healthy, &any}) {
        if (!candidates->empty()) {
            return chooseBetterOfTwo(*candidates, request).slot;
        }
    }
    return m_candidates.empty() ? std::nullopt : std::optional(m_candidates.front().slot);
}

std::optional<MemberSlot> ReplicaChoice::chooseFaster(const OwnershipView &ownership, const Request &request, MonotonicTime now, WallTime wallTime)
{
    if (m_stale) {
        refresh(ownership, now, wallTime);
    }
    const auto last = std::ranges::find(m_candidates, request.member, &Candidate::slot);
    const double lastSlowness = last == m_candidates.end() ? 1 : last->slowness;
    const Duration left = request.deadline - now;
    std::vector<const Candidate *> faster;
    for (const Candidate &candidate : m_candidates) {
        const bool healthy = candidate.isSelf ? m_ownHealthy : candidate.healthy;
        const auto needed = std::chrono::duration<double>(request.expiredWork) * (candidate.slowness / lastSlowness);
        if (candidate.slot != request.member && healthy && needed <= left) {
            faster.push_back(&candidate);
        }
    }
    return faster.empty() ? std::nullopt : std::optional(chooseBetterOfTwo(faster, request).slot);
}

/** Returns whether the request is expected to wait less at the candidate than a transfer to another zone would take. */
bool ReplicaChoice::hasCapacity(const Candidate &candidate, const Request &request) const
{
    const std::uint64_t percent = request.largeAnswer ? ownZoneUsePercentForLargeAnswers : ownZoneUsePercent;
    return inFlight(candidate) * candidate.slowness * 100 < static_cast<double>(candidate.slots * percent);
}

std::optional<MemberSlot> ReplicaChoice::chooseForKey(const OwnershipView &ownership, std::uint64_t keyHash, MonotonicTime now, WallTime wallTime)
{
    if (m_stale) {
        refresh(ownership, now, wallTime);
    }
    if (m_candidates.empty()) {
        return std::nullopt;
    }
    // Rendezvous hashing: when the members change, few keys move to another member.
    const auto weight = [&](const Candidate &candidate) { return PseudoRandom(keyHash ^ candidate.slot.value()).next(); };
    const auto isLighter = [&](const Candidate &a, const Candidate &b) { return weight(a) < weight(b); };
    return std::max_element(m_candidates.begin(), m_candidates.end(), isLighter)->slot;
}

std::optional<MemberSlot> ReplicaChoice::chooseForSuspect(const OwnershipView &ownership, const Request &request, MonotonicTime now, WallTime wallTime)
{
    if (m_stale) {
        refresh(ownership, now, wallTime);
    }
    const std::uint64_t hash = hashOfKey(toText(request.source.identity()));
    const auto rank = [&](const Candidate &candidate) {
        const bool isNew = request.attempts == 0 || candidate.slot != request.member;
        return std::tuple(isNew, candidate.healthy, PseudoRandom(hash ^ candidate.slot.value()).next());
    };
    const auto isWorse = [&](const Candidate &a, const Candidate &b) { return rank(a) < rank(b); };
    const auto best = std::max_element(m_candidates.begin(), m_candidates.end(), isWorse);
    return best == m_candidates.end() ? std::nullopt : std::optional(best->slot);
}

void ReplicaChoice::refresh(const OwnershipView &ownership, MonotonicTime now, WallTime wallTime)
{
    m_stale = false;
    m_candidates.clear();
    const Document *document = m_service.value().empty() ? ownership.document() : ownership.documentOf(m_service);
    const Member *self = ownership.member(ownership.self());
    for (const Member &member : ownership.members()) {
        if (!m_service.value().empty() && member.service != m_service) {
            continue;
        }
        const bool isSelf = self && member.slot == self->slot;
        const bool admits = isSelf ? ownership.mayAdmit(ShardIndex(0), now) : !member.leaving;
        if (!admits || (document && document->isLeaving(member.target, wallTime))) {
            continue;
        }
        Candidate candidate;
        candidate.slot = member.slot;
        candidate.isSelf = isSelf;
        candidate.ownZone = self && member.zone == self->zone;
        candidate.slots = std::max(member.slots, 1U);
        const auto &loads = ownership.loads();
        const auto load = std::find_if(loads.begin(), loads.end(), [&](const MemberLoad &other) { return other.slot == member.slot; });
        if (load != loads.end()) {
            candidate.healthy = load->healthy;
            candidate.slots = load->slots > 0 ? load->slots : candidate.slots;
            candidate.reportedRequests = load->inFlight + load->queued;
            candidate.linkLoad = std::chrono::duration<double>(load->linkWait) / busyLinkWait;
        }
        m_candidates.push_back(candidate);
    }
    setSlowness(ownership.loads());
}

void ReplicaChoice::setSlowness(const std::vector<MemberLoad> &loads)
{
    std::unordered_map<MemberSlot, double> times;
    double total = 0;
    for (const Candidate &candidate : m_candidates) {
        const auto load = std::find_if(loads.begin(), loads.end(), [&](const MemberLoad &other) { return other.slot == candidate.slot; });
        if (load != loads.end() && load->serviceTime > Duration::zero()) {
            times[candidate.slot] = static_cast<double>(load->serviceTime.count());
            total += times[candidate.slot];
        }
    }
    for (Candidate &candidate : m_candidates) {
        const auto time = times.find(candidate.slot);
        if (time != times.end()) {
            candidate.slowness = std::clamp(time->second * static_cast<double>(times.size()) / total, leastSlowness, mostSlowness);
        }
    }
}

std::uint32_t ReplicaChoice::inFlight(const Candidate &candidate) const
{
    const auto started = m_inFlight.find(candidate.slot);
    const std::uint32_t known = candidate.isSelf ? m_ownQueued : candidate.reportedRequests;
    return known + (started == m_inFlight.end() ? 0 : started->second);
}

bool ReplicaChoice::isOwnZoneMoreLoaded() const
{
    double ownInFlight = 0;
    double ownCapacity = 0;
    double otherInFlight = 0;
    double otherCapacity = 0;
    for (const Candidate &candidate : m_candidates) {
        (candidate.ownZone ? ownInFlight : otherInFlight) += inFlight(candidate);
        (candidate.ownZone ? ownCapacity : otherCapacity) += candidate.slots / candidate.slowness;
    }
    return ownInFlight * otherCapacity > otherInFlight * ownCapacity;
}

double ReplicaChoice::load(const Candidate &candidate, const Request &request) const
{
    const double targetLoad = (inFlight(candidate) + 1) * candidate.slowness / candidate.slots;
    // The answer of the target beside this node crosses no link.
    return request.largeAnswer && !candidate.isSelf ? targetLoad + candidate.linkLoad : targetLoad;
}

bool ReplicaChoice::isMoreLoaded(const Candidate &a, const Candidate &b, const Request &request) const
{
    return load(a, request) > load(b, request);
}

const ReplicaChoice::Candidate &ReplicaChoice::chooseBetterOfTwo(const std::vector<const Candidate *> &candidates, const Request &request)
{
    const std::size_t count = candidates.size();
    if (count == 1) {
        return *candidates.front();
    }
    const std::size_t firstIndex = m_random.below(count);
    const std::size_t secondIndex = (firstIndex + 1 + m_random.below(count - 1)) % count;
    const Candidate *first = candidates[firstIndex];
    const Candidate *second = candidates[secondIndex];
    return isMoreLoaded(*first, *second, request) ? *second : *first;
}

} // namespace nutmeghinge
