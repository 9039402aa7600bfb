#pragma once

#include "cell.h"
#include "effects.h"
#include "events.h"
#include "nodeidentity.h"
#include "recentpeak.h"
#include "requestrouter.h"
#include "timings.h"

namespace nutmeghinge {

class DocumentFormat;

/**
 * Makes all decisions of a node: processes one event at a time and returns the effects
 * for the adapters. It has no clock and does no I/O, so the same events always produce
 * the same effects.
 */
class Reducer
{
public:
    /** The format must outlive the reducer; null selects the YAML format of the product. */
    Reducer(NodeIdentity identity, Timings timings, const DocumentFormat *format = nullptr);

    /** Processes one event. The times of events must not decrease. */
    Effects apply(const Event &event);

    const Cell &cell() const { return m_cell; }
    const RequestRouter &router() const { return m_router; }
    /** Returns the longest time by which events were handled late in the last seconds. */
    Duration recentLag(MonotonicTime now) const { return m_lag.value(now); }

private:
    using Handler = void (Reducer::*)(const Event &, EffectList &);

    void handleTick(const Event &event, EffectList &effects);
    /** Ends what still runs at the times that the stop schedule sets. */
    void endRequests(const Event &event, EffectList &effects);
    /** Closes the listener for peers once the shards are handed over, and the one for callers when none come any more. */
    void closeListeners(const Event &event, EffectList &effects);
    void exitIfDone(const Event &event, EffectList &effects);
    void handleStopRequested(const Event &event, EffectList &effects);
    void handleConnectionsClosed(const Event &event, EffectList &effects);
    void handlePeerMessage(const Event &event, EffectList &effects);
    void handleTargetAnnounced(const Event &event, EffectList &effects);
    void handleTargetProbed(const Event &event, EffectList &effects);
    void handleTargetStated(const Event &event, EffectList &effects);
    void handleRequestArrived(const Event &event, EffectList &effects);
    void handleAttemptFinished(const Event &event, EffectList &effects);
    template <void (Cell::*Member)(const Event &, EffectList &)>
    void handleInCell(const Event &event, EffectList &effects);
    template <void (RequestRouter::*Member)(const Event &, EffectList &)>
    void handleInRouter(const Event &event, EffectList &effects);
    /** Advances the hybrid clock past the event's time and the sender's clock, if any. */
    HybridTime advanceClock(const Event &event);
    /** Sets the clock value of all messages to other nodes. */
    void stampMessages(Effects &effects);

    RequestRouter m_router;
    Cell m_cell;
    HybridTime m_clock;
    RecentPeak m_lag;
    /** Time after a stop request at which the node closes its listeners even if its cell has not stopped; zero: no limit. */
    Duration m_handoverTimeout;
    MonotonicTime m_stopRequestedAt;
    bool m_stopping = false;
    bool m_peerListenerClosed = false;
    bool m_callerListenerClosed = false;
    /** Latest arrival of a request of this node's callers, or the stop request if that is later. */
    MonotonicTime m_lastCallerArrival;
    bool m_requestsEnded = false;
    bool m_peerRequestsEnded = false;
    bool m_callerConnectionsClosed = false;
    bool m_peerConnectionsClosed = false;
    MonotonicTime m_peerConnectionsClosedAt;
    bool m_exited = false;
};

} // namespace nutmeghinge
