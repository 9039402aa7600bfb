#pragma once

#include "events.h"
#include "requestrate.h"
#include "shardactivity.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace nutmeghinge {

class EffectList;
class OwnershipView;
class StopSchedule;

/** Numbers of requests since the node started; inFlight and queued are the present numbers. */
struct RequestCounters {
    std::uint64_t arrived = 0;
    std::uint64_t answered = 0;
    /** Requests that were answered after the objective of their route. */
    std::uint64_t answeredLate = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    /** Of these, the requests of this node's callers, by cause. */
    std::array<std::uint64_t, unknownCauses> unknownToCallers{};
    /** Attempts at other nodes that were given up because the owners of their keys were lost. */
    std::uint64_t forwardsCancelled = 0;
    /** Requests of other nodes refused because the VM's link could not carry their answers in time. */
    std::uint64_t refusedForLink = 0;
    /** Attempts that targets ended because the time that they were given, less than the request had, was over. */
    std::uint64_t workTimeExpired = 0;
    std::uint64_t retries = 0;
    std::uint64_t retriesDenied = 0;
    std::uint64_t forwarded = 0;
    /** Requests sent to the target beside this node, retries included. */
    std::uint64_t sentToTarget = 0;
    /** Incarnations of the target beside this node that crashed. */
    std::uint64_t targetCrashes = 0;
    /** Requests refused because targets had crashed while they ran the same request. */
    std::uint64_t refusedAsSuspect = 0;
    /** Requests under which targets crashed, as known at present. */
    std::size_t crashSuspects = 0;
    std::uint64_t duplicatesJoined = 0;
    std::uint64_t duplicatesAnswered = 0;
    /** Stored answers that were evicted before the deduplication window ended, because the memory was full. */
    std::uint64_t deduplicationEvictions = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    /** Limit that the target names at present; empty if it names none. */
    std::optional<RequestRate> targetLimit;
};

/**
 * Brings each request to the owner of its key: routing, admission to the target
 * beside this node, queueing, retries within a budget, deadlines and
 * deduplication by Idempotency-Key. Owned by the Reducer.
 *
 * A non-idempotent request is not sent again after an attempt with an unknown
 * outcome. A request is refused as "not run" only if it is certain that none of
 * its attempts was run.
 *
 * When a caller repeats a non-idempotent request, the node that owns its key
 * recognises the repeat by its Idempotency-Key. This deduplication memory holds
 * document.deduplicationEntries entries for document.deduplicationWindow. It
 * moves with a planned handover and is lost with its node. A node that forwarded
 * a request without learning its outcome refuses a repeat as "unknown" if the
 * key has another owner by then. In all other cases a repeat runs as a new
 * request: after its entry was dropped, or when the owner was lost and the
 * repeat arrives at another node. In a service that is not sharded, a request
 * with an Idempotency-Key goes to the replica chosen by the key's hash; repeats
 * are recognised until that replica leaves or the members change.
 *
 * A request may be forwarded twice: by a node of another service to any member
 * of the cell, and by that member to the owner. A node that received a request
 * from another node never waits for ownership to change.
 */
class RequestRouter : public ShardActivity
{
public:
    /** linkMegabits: bandwidth of the VM's network link in Mbit/s; 0: unknown. */
    explicit RequestRouter(std::uint64_t seed, std::uint32_t linkMegabits = 0);
    ~RequestRouter() override;

    /** Sets the view of the cell. Must be called once before the first event; the view must outlive the router. */
    void setOwnership(const OwnershipView &ownership);
    /** Sets the time without an announcement after which the target counts as unhealthy. */
    void setTargetTimeout(Duration timeout);
    /** Sets the time after a stop request at which the process is ended from outside; zero: never. */
    void setStopLimit(Duration limit);
    /** Sets how late the node has handled events lately. */
    void setLag(Duration lag);
    void linkQueueMeasured(const Event &event, EffectList &effects);

    // Event handlers. Only the Reducer calls them, after the Cell has handled the event.
    void tick(const Event &event, EffectList &effects);
    /** Refuses the waiting requests that may not be begun any more. */
    void stop(const Event &event, EffectList &effects);
    /** Refuses the waiting requests that another member, which is stopping, would break off. sentAt: when it said so, by its clock. */
    void memberStops(MemberSlot member, Duration requestsEndIn, WallTime sentAt, const Event &event, EffectList &effects);
    /**
     * Refuses or cancels all requests of this node's callers whose answer has not begun, because the process is about to be ended: a
     * refusal is better for the caller than a broken connection. The node accepts no request afterwards.
     */
    void endRequests(const Event &event, EffectList &effects);
    /** Does the same with the requests of other nodes. */
    void endPeerRequests(const Event &event, EffectList &effects);
    void targetAnnounced(const Event &event, EffectList &effects);
    void targetProbed(const Event &event, EffectList &effects);
    void targetChecked(const Event &event, EffectList &effects);
    void targetStated(const Event &event, EffectList &effects);
    void requestArrived(const Event &event, EffectList &effects);
    void requestCancelled(const Event &event, EffectList &effects);
    void attemptAnswering(const Event &event, EffectList &effects);
    void attemptFinished(const Event &event, EffectList &effects);
    /** Routes the waiting requests again, because the map, the lease or the document may have changed. */
    void ownershipChanged(const Event &event, EffectList &effects);

    std::uint32_t blockingRequests(ShardIndex shard) const override;
    std::uint32_t runningRequests() const override;
    std::uint32_t targetRequests() const override;
    bool takeProbe(MonotonicTime now) override;
    bool hasTargetEnded(const TargetInstance &target, const TargetName &successor) const override;
    CrashSuspects &crashSuspects() override;
    const CrashSuspects &crashSuspects() const;
    MemberLoad takeLoad(MonotonicTime now) override;
    std::vector<DeduplicationEntry> exportDeduplication(ShardIndex shard, MonotonicTime now) const override;
    void importDeduplication(const std::vector<DeduplicationEntry> &entries, MonotonicTime now) override;

    const RequestCounters &counters() const;
    /** Returns, by cause, how many callers got no target's answer, although a target may have run their requests, since the stop request. */
    std::string unknownSinceStop() const;
    const StopSchedule &stopSchedule() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace nutmeghinge
