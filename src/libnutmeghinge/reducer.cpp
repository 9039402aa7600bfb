#include "reducer.h"

#include "effectlist.h"
#include "stopschedule.h"

#include <algorithm>
#include <array>

namespace nutmeghinge {

namespace {

/** A peer's clock that is further ahead than this is ignored. */
constexpr Duration clockSkewLimit = std::chrono::minutes(1);
/** Maximum time for which a stopping node waits for the platform to acknowledge its resignation. */
constexpr Duration resignationLimit = std::chrono::milliseconds(300);

/** Time for which the node reckons with being as late again as it was. */
constexpr Duration lagWindow = std::chrono::seconds(2);

} // namespace

Reducer::Reducer(NodeIdentity identity, Timings timings, const DocumentFormat *format)
    : m_router(identity.seed, identity.linkMegabits)
    , m_cell(std::move(identity), timings, m_router, format)
    , m_lag(lagWindow)
    , m_handoverTimeout(timings.stopHandoverLimit)
{
    m_router.setOwnership(m_cell);
    m_router.setTargetTimeout(timings.targetTimeout);
    m_router.setStopLimit(timings.stopLimit);
}

Effects Reducer::apply(const Event &event)
{
    // One handler per alternative of EventBody, in the same order.
    static constexpr std::array<Handler, std::variant_size_v<EventBody>> handlers{
        &Reducer::handleTick,
        &Reducer::handleInRouter<&RequestRouter::linkQueueMeasured>,
        &Reducer::handleStopRequested,
        &Reducer::handleConnectionsClosed,
        &Reducer::handleInCell<&Cell::tableEpochChanged>,
        &Reducer::handleInCell<&Cell::cellRowRead>,
        &Reducer::handleInCell<&Cell::cellRowWriteFinished>,
        &Reducer::handleInCell<&Cell::memberRowsRead>,
        &Reducer::handleInCell<&Cell::memberRowWriteFinished>,
        &Reducer::handleInCell<&Cell::documentRead>,
        &Reducer::handleInCell<&Cell::documentFollowed>,
        &Reducer::handleInCell<&Cell::cellsRead>,
        &Reducer::handlePeerMessage,
        &Reducer::handleTargetAnnounced,
        &Reducer::handleInCell<&Cell::targetLeaving>,
        &Reducer::handleTargetProbed,
        &Reducer::handleInRouter<&RequestRouter::targetChecked>,
        &Reducer::handleTargetStated,
        &Reducer::handleInCell<&Cell::targetGrantFinished>,
        &Reducer::handleRequestArrived,
        &Reducer::handleInRouter<&RequestRouter::requestCancelled>,
        &Reducer::handleInRouter<&RequestRouter::attemptAnswering>,
        &Reducer::handleAttemptFinished,
    };
    m_lag.record(event.lag, event.at);
    m_router.setLag(m_lag.value(event.at));
    EffectList effects(advanceClock(event));
    (this->*handlers[event.body.index()])(event, effects);
    m_cell.spreadCrashSuspects(effects);
    Effects result = effects.take();
    stampMessages(result);
    return result;
}

HybridTime Reducer::advanceClock(const Event &event)
{
    HybridTime peerTime;
    if (const auto *message = std::get_if<PeerMessageArrived>(&event.body)) {
        peerTime = message->time;
    } else if (const auto *request = std::get_if<RequestArrived>(&event.body)) {
        peerTime = request->time;
    }
    if (peerTime.wall > event.wallTime + clockSkewLimit) {
        peerTime = HybridTime{};
    }
    const HybridTime latest = std::max(m_clock, peerTime);
    if (event.wallTime > latest.wall) {
        m_clock = HybridTime{event.wallTime, 0};
    } else {
        m_clock = HybridTime{latest.wall, latest.counter + 1};
    }
    return m_clock;
}

void Reducer::stampMessages(Effects &effects)
{
    m_clock.counter += static_cast<std::uint32_t>(effects.size());
    for (Effect &effect : effects) {
        if (auto *send = std::get_if<SendPeerMessage>(&effect)) {
            send->time = m_clock;
        } else if (auto *forward = std::get_if<ForwardRequest>(&effect)) {
            forward->time = m_clock;
        }
    }
}

void Reducer::handleTick(const Event &event, EffectList &effects)
{
    m_cell.tick(event, effects);
    m_router.ownershipChanged(event, effects);
    m_router.tick(event, effects);
    if (!m_stopping || m_exited) {
        return;
    }
    endRequests(event, effects);
    closeListeners(event, effects);
    exitIfDone(event, effects);
}

void Reducer::endRequests(const Event &event, EffectList &effects)
{
    if (!m_requestsEnded && m_router.stopSchedule().endsOwnRequests(event.at, event.lag)) {
        m_requestsEnded = true;
        m_router.endRequests(event, effects);
    }
    if (!m_peerRequestsEnded && m_router.stopSchedule().endsPeerRequests(event.at)) {
        m_peerRequestsEnded = true;
        m_router.endPeerRequests(event, effects);
    }
}

void Reducer::closeListeners(const Event &event, EffectList &effects)
{
    const bool handoverTimedOut = m_handoverTimeout > Duration::zero() && event.at >= m_stopRequestedAt + m_handoverTimeout;
    if (!m_cell.isStopped() && !handoverTimedOut && !m_peerListenerClosed) {
        return;
    }
    if (!m_peerListenerClosed) {
        m_peerListenerClosed = true;
        effects.add(CloseListener{ListenerKind::Peers});
    }
    if (!m_callerListenerClosed && m_router.stopSchedule().mayCloseToCallers(event.at, m_lastCallerArrival)) {
        m_callerListenerClosed = true;
        effects.add(CloseListener{ListenerKind::Callers});
    }
}

void Reducer::exitIfDone(const Event &event, EffectList &effects)
{
    const bool announced = m_cell.hasAnnouncedResignation() || event.at >= m_peerConnectionsClosedAt + resignationLimit;
    if (m_callerConnectionsClosed && m_peerConnectionsClosed && m_router.runningRequests() == 0 && announced) {
        m_exited = true;
        TimelineRecord record;
        record.kind = TimelineRecord::Kind::NodeStopped;
        record.detail =
            "callers that got an answer of this node although a target may have run their request, since the stop request: " + m_router.unknownSinceStop();
        effects.record(std::move(record));
        effects.add(Exit{0});
    }
}

void Reducer::handleStopRequested(const Event &event, EffectList &effects)
{
    TimelineRecord record;
    record.kind = TimelineRecord::Kind::StopRequested;
    record.detail = m_stopping ? "again, the stop limit still counts from the first request" : "";
    effects.record(std::move(record));
    if (m_stopping) {
        return;
    }
    m_stopping = true;
    m_stopRequestedAt = event.at - event.lag;
    m_lastCallerArrival = event.at;
    effects.add(AnnounceClose{});
    m_cell.stop(event, effects);
    m_router.stop(event, effects);
    if (m_router.stopSchedule().ownRequestsEnd() != MonotonicTime::max()) {
        m_cell.announceStop(m_router.stopSchedule().statedRequestsEnd() - event.at, effects);
    }
}

void Reducer::handleConnectionsClosed(const Event &event, EffectList &effects)
{
    if (std::get<ConnectionsClosed>(event.body).listener == ListenerKind::Callers) {
        m_callerConnectionsClosed = true;
        return;
    }
    m_peerConnectionsClosed = true;
    m_peerConnectionsClosedAt = event.at;
    m_cell.resign(event, effects);
}

void Reducer::handlePeerMessage(const Event &event, EffectList &effects)
{
    const auto &arrived = std::get<PeerMessageArrived>(event.body);
    const auto *notice = std::get_if<StopNotice>(&arrived.message);
    if (!notice) {
        handleInCell<&Cell::peerMessageArrived>(event, effects);
    } else if (m_cell.isFromMember(arrived)) {
        m_router.memberStops(arrived.from, notice->requestsEndIn, arrived.time.wall, event, effects);
    }
}

void Reducer::handleTargetAnnounced(const Event &event, EffectList &effects)
{
    if (m_cell.targetAnnounced(event, effects)) {
        m_router.targetAnnounced(event, effects);
    } else {
        m_router.ownershipChanged(event, effects);
    }
}

void Reducer::handleTargetProbed(const Event &event, EffectList &effects)
{
    m_cell.targetProbed(event, effects);
    m_router.targetProbed(event, effects);
}

void Reducer::handleTargetStated(const Event &event, EffectList &effects)
{
    m_router.targetStated(event, effects);
    if (m_cell.targetStated(event, effects)) {
        m_router.ownershipChanged(event, effects);
    }
}

void Reducer::handleRequestArrived(const Event &event, EffectList &effects)
{
    const auto &arrived = std::get<RequestArrived>(event.body);
    if (arrived.hops == 0) {
        m_lastCallerArrival = event.at;
    }
    if (arrived.relayed) {
        const TargetStated stated{arrived.relayed->target, arrived.relayed->statement, TargetStated::Source::Peer, arrived.relayed->leavingFor};
        handleTargetStated(Event{event.at, event.wallTime, stated}, effects);
    }
    m_router.requestArrived(event, effects);
}

void Reducer::handleAttemptFinished(const Event &event, EffectList &effects)
{
    const auto &finished = std::get<AttemptFinished>(event.body);
    const auto *notRun = std::get_if<AttemptNotRun>(&finished.result);
    if (notRun && notRun->newerFence) {
        m_cell.handleNewerFence(*notRun->newerFence, event, effects);
    }
    m_router.attemptFinished(event, effects);
}

template <void (Cell::*Member)(const Event &, EffectList &)>
void Reducer::handleInCell(const Event &event, EffectList &effects)
{
    (m_cell.*Member)(event, effects);
    m_router.ownershipChanged(event, effects);
}

template <void (RequestRouter::*Member)(const Event &, EffectList &)>
void Reducer::handleInRouter(const Event &event, EffectList &effects)
{
    (m_router.*Member)(event, effects);
}

} // namespace nutmeghinge
