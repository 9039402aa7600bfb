#pragma once

#include "events.h"
#include "shardactivity.h"

#include <memory>

namespace nutmeghinge {

class EffectList;
class OwnershipView;

/** Counts since the start of the node. */
struct RequestCounters {
    std::uint64_t arrived = 0;
    std::uint64_t answered = 0;
    /** Answered after the objective of their route. */
    std::uint64_t late = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t retries = 0;
    std::uint64_t retriesDenied = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t duplicatesJoined = 0;
    std::uint64_t duplicatesAnswered = 0;
    /** Remembered answers dropped before their time for lack of room. */
    std::uint64_t deduplicationEvictions = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
};

/**
 * Brings each request to the owner of its key: routing, admission to the target
 * beside this node, queues, retries within a budget, deadlines and the memory
 * of idempotency keys. Owned by the Reducer.
 *
 * A non-idempotent request is never sent again once an attempt of it has ended
 * with its outcome unknown, and a request is refused as "not run" only if each
 * of its attempts certainly was not run.
 *
 * A caller's own repeat of a non-idempotent request is recognised by its
 * Idempotency-Key at the node that owns the request's key. This memory moves
 * with a planned handover. It holds document.deduplicationEntries entries for
 * document.deduplicationWindow, and it is lost with its node. The node that
 * forwarded a request without learning its outcome refuses a repeat as "unknown"
 * when the key has another owner by then. Past these bounds, also for a repeat
 * that comes in at another node after the owner was lost, a repeat is run as a
 * new request. For a service that is not divided by key, a request with an
 * Idempotency-Key goes to the replica that the key's hash names, whose memory
 * holds until it leaves or the members change.
 *
 * A request may be forwarded twice: by a node of another service to any member
 * of the cell, and by that member to the owner. A node that got the request from
 * another one never waits for ownership to change.
 */
class RequestRouter : public ShardActivity
{
public:
    explicit RequestRouter(std::uint64_t seed);
    ~RequestRouter() override;

    /** Must be called once before the first event; the view must outlive the router. */
    void setOwnership(const OwnershipView &ownership);
    /** Time after which a silent target counts as unhealthy. */
    void setTargetSilence(Duration silence);

    // Events; each is called by the Reducer only, after the Cell has seen the event.
    void tick(const Event &event, EffectList &effects);
    void stop(const Event &event, EffectList &effects);
    /** Ends every request that has no answer yet: the process is about to be ended, and an answer of its own is better than a connection that breaks. */
    void endRequests(const Event &event, EffectList &effects);
    void targetAnnounced(const Event &event, EffectList &effects);
    void targetProbed(const Event &event, EffectList &effects);
    void requestArrived(const Event &event, EffectList &effects);
    void requestCancelled(const Event &event, EffectList &effects);
    void attemptAnswering(const Event &event, EffectList &effects);
    void attemptFinished(const Event &event, EffectList &effects);
    /** The map, the lease or the document may have changed: waiting requests are looked at again. */
    void ownershipChanged(const Event &event, EffectList &effects);

    std::uint32_t blockingRequests(ShardIndex shard) const override;
    std::uint32_t runningRequests() const override;
    std::uint32_t targetRequests() const override;
    MemberLoad takeLoad(MonotonicTime now) override;
    std::vector<DeduplicationEntry> exportDeduplication(ShardIndex shard, MonotonicTime now) const override;
    void importDeduplication(const std::vector<DeduplicationEntry> &entries, MonotonicTime now) override;

    const RequestCounters &counters() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace nutmeghinge
