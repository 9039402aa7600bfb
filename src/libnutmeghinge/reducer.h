#pragma once

#include "cell.h"
#include "effects.h"
#include "events.h"
#include "nodeidentity.h"
#include "requestrouter.h"
#include "timings.h"

namespace nutmeghinge {

class DocumentFormat;

/**
 * All decisions of a node: takes one event after the other and returns what the
 * adapters have to do. Has no clock and no I/O; equal events give equal effects.
 */
class Reducer
{
public:
    /** The format must outlive the reducer; without one, documents are the product's own. */
    Reducer(NodeIdentity identity, Timings timings, const DocumentFormat *format = nullptr);

    /** Handles one event. Times of events never go back. */
    Effects apply(const Event &event);

    const Cell &cell() const { return m_cell; }
    const RequestRouter &router() const { return m_router; }

private:
    using Handler = void (Reducer::*)(const Event &, EffectList &);

    void handleTick(const Event &event, EffectList &effects);
    void handleStopRequested(const Event &event, EffectList &effects);
    void handleConnectionsClosed(const Event &event, EffectList &effects);
    void handleTargetAnnounced(const Event &event, EffectList &effects);
    void handleTargetProbed(const Event &event, EffectList &effects);
    void handleAttemptFinished(const Event &event, EffectList &effects);
    template <void (Cell::*Member)(const Event &, EffectList &)>
    void handleInCell(const Event &event, EffectList &effects);
    template <void (RequestRouter::*Member)(const Event &, EffectList &)>
    void handleInRouter(const Event &event, EffectList &effects);
    HybridTime advanceClock(const Event &event);
    void stampMessages(Effects &effects);

    RequestRouter m_router;
    Cell m_cell;
    HybridTime m_clock;
    Duration m_stopPatience;
    Duration m_stopLimit;
    MonotonicTime m_stopAskedAt;
    bool m_stopping = false;
    bool m_listenersClosed = false;
    bool m_requestsEnded = false;
    bool m_connectionsClosed = false;
    bool m_exited = false;
};

} // namespace nutmeghinge
