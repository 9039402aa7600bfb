#include "requestplay.h"

#include "overloaded.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

constexpr Duration crashDelay = std::chrono::milliseconds(50);
constexpr Duration calmTime = std::chrono::seconds(3);
constexpr Duration localDelay = std::chrono::microseconds(200);
constexpr Duration networkDelay = std::chrono::milliseconds(2);
constexpr Duration callerTimeout = std::chrono::seconds(3);
constexpr Duration linkStep = std::chrono::milliseconds(10);
/** Answers up to this size do not wait for the link. */
constexpr std::uint64_t smallAnswerBytes = 8192;
/** Status of a node's answer if the time limit of the request has passed. */
constexpr std::uint16_t lateStatus = 504;
/** Part of a time limit by which the harness's fastest clock ends it sooner. */
constexpr int driftDivisor = 100;
/** An answer of a node so soon after the end of a run was given in place of the target's. */
constexpr Duration brokenOffWithin = std::chrono::milliseconds(50);

} // namespace

RequestPlay::RequestPlay(TargetLeaseHarness &harness, std::uint64_t seed)
    : m_harness(harness)
    , m_random(seed)
{
    harness.requestEffects = [this](std::size_t node, const Effect &effect) { handle(node, effect); };
}

void RequestPlay::send(std::size_t node, Call &call)
{
    RequestArrived arrived;
    arrived.host = call.host;
    arrived.method = call.path.starts_with("/once/") ? "POST" : "GET";
    arrived.path = call.path;
    arrived.caller = call.caller;
    arrived.body = RequestBody(call.body);
    arrived.headers = {{"x-key", call.caller}};
    arrived.timeout = call.timeout;
    call.entry = node;
    call.sentAt = m_harness.now();
    accept(node, std::move(arrived), call, {});
}

void RequestPlay::repeat(Call &call, Duration length)
{
    sendAgain(call, m_harness.now() + length, call.ended, m_harness.now() - callerTimeout);
}

void RequestPlay::sendAgain(Call &call, Duration end, std::size_t endedBefore, Duration sentAt)
{
    const std::size_t node = m_random() % m_harness.size();
    const bool isOver = call.ended > endedBefore || m_harness.now() - sentAt >= callerTimeout;
    if (isOver && m_harness.isUp(node)) {
        endedBefore = call.ended;
        sentAt = m_harness.now();
        send(node, call);
    }
    if (m_harness.now() < end) {
        m_harness.callLater(std::chrono::milliseconds(50 + m_random() % 200), [=, this, &call] { sendAgain(call, end, endedBefore, sentAt); });
    }
}

void RequestPlay::sendOthers(Duration interval, Duration length)
{
    for (Duration at{0}; at < length; at += interval) {
        m_harness.callLater(at, [this] {
            const std::size_t node = m_random() % m_harness.size();
            if (!m_harness.isUp(node)) {
                return;
            }
            auto call = std::make_unique<Call>();
            call->host = m_random() % 2 == 0 ? "documents" : "roster";
            call->path = (m_random() % 3 == 0 ? "/once/" : "/read/") + std::to_string(m_random());
            call->caller = std::to_string(m_random() % 65536);
            call->work = std::chrono::milliseconds(100 + m_random() % 300);
            others.push_back(std::move(call));
            send(node, *others.back());
        });
    }
}

void RequestPlay::stop(std::size_t node, Duration limit, std::size_t times, Duration interval)
{
    const NodeRun run = runOf(node);
    m_harness.stopNode(node);
    for (std::size_t i = 1; i < times; ++i) {
        m_harness.callLater(interval * static_cast<int>(i), [this, run] { deliver(run, StopRequested{}); });
    }
    m_harness.callLater(limit, [this, run] { endNode(run); });
}

void RequestPlay::endNode(const NodeRun &node)
{
    if (!m_harness.isUp(node.first) || m_harness.incarnationOf(node.first) != node.second) {
        return;
    }
    m_harness.killNode(node.first);
    for (const Attempt &run : std::exchange(m_runs, {})) {
        if (run.node == node) {
            loseRun(run);
        } else {
            m_runs.push_back(run);
        }
    }
    for (auto accepted = m_accepted.lower_bound({node, RequestId(0)}); accepted != m_accepted.end() && accepted->first.first == node;) {
        const Accepted ended = m_accepted.extract(accepted++).mapped();
        if (ended.from) {
            m_harness.callLater(networkDelay, [this, from = *ended.from] { deliver(from.node, AttemptFinished{from.id, AttemptUnknown()}); });
        } else {
            ++ended.call->ended;
            if (ended.read) {
                ended.call->brokenOffAt = m_harness.now();
                ended.call->brokenOffWith = "the process ended";
            }
        }
    }
}

void RequestPlay::crash(std::size_t node)
{
    if (!m_harness.runningTarget(node)) {
        return;
    }
    m_harness.killTarget(node);
    for (const Attempt &run : std::exchange(m_runs, {})) {
        if (run.node.first != node) {
            m_runs.push_back(run);
            continue;
        }
        if (const auto accepted = m_accepted.find({run.node, run.request}); accepted != m_accepted.end()) {
            --accepted->second.call->running;
        }
        m_harness.callLater(localDelay, [this, run] { deliver(run.node, AttemptFinished{run.id, AttemptUnknown()}); });
    }
    m_harness.callLater(std::chrono::milliseconds(3300 + m_random() % 900), [this, node] { m_harness.startTarget(node); });
}

void RequestPlay::deliver(const NodeRun &node, EventBody body)
{
    if (m_harness.isUp(node.first) && m_harness.incarnationOf(node.first) == node.second) {
        m_harness.notify(node.first, std::move(body));
    }
}

void RequestPlay::accept(std::size_t node, RequestArrived arrived, Call &call, std::optional<Attempt> from)
{
    arrived.request = RequestId(++m_lastRequest);
    const std::pair key{runOf(node), arrived.request};
    m_accepted[key] = {&call, from, arrived};
    m_harness.whenRead(node, [this, key] {
        if (const auto accepted = m_accepted.find(key); accepted != m_accepted.end()) {
            accepted->second.read = true;
        }
    });
    deliver(runOf(node), std::move(arrived));
}

void RequestPlay::handle(std::size_t node, const Effect &effect)
{
    std::visit(Overloaded{
                   [&](const SendToTarget &send) { runAtTarget(node, send); },
                   [&](const ForwardRequest &sent) { forward(node, sent); },
                   [&](const RefuseRequest &refusal) { refuse(node, refusal); },
                   [&](const CheckTarget &check) {
                       const bool listening = m_harness.runningTarget(node).has_value();
                       const auto state = listening ? TargetChecked::State::Listening : TargetChecked::State::Refused;
                       m_harness.callLater(localDelay, [this, run = runOf(node), result = TargetChecked{check.target, state}] { deliver(run, result); });
                   },
                   [&](const CancelAttempt &sent) { cancel(node, sent); },
                   [](const auto &) {},
               },
               effect);
}

void RequestPlay::cancel(std::size_t node, const CancelAttempt &cancel)
{
    const NodeRun run = runOf(node);
    m_cancelled.insert({run, cancel.attempt});
    m_harness.callLater(localDelay, [this, run, id = cancel.attempt] {
        deliver(run, AttemptFinished{id, AttemptUnknown{.reason = AttemptUnknown::Reason::Cancelled}});
    });
    const auto isCancelled = [&](const Attempt &attempt) { return attempt.node == run && attempt.id == cancel.attempt; };
    if (const auto atTarget = std::ranges::find_if(m_runs, isCancelled); atTarget != m_runs.end()) {
        loseRun(*atTarget);
        m_runs.erase(atTarget);
    }
    for (const auto &[key, accepted] : m_accepted) {
        if (accepted.from && isCancelled(*accepted.from)) {
            m_harness.callLater(networkDelay, [this, to = key.first, id = key.second] { deliver(to, RequestCancelled{id}); });
            break;
        }
    }
}

void RequestPlay::loseRun(const Attempt &run)
{
    if (const auto accepted = m_accepted.find({run.node, run.request}); accepted != m_accepted.end()) {
        --accepted->second.call->running;
        accepted->second.call->runLostAt = m_harness.now();
    }
}

void RequestPlay::runAtTarget(std::size_t node, const SendToTarget &send)
{
    const Attempt run{runOf(node), send.attempt, send.request};
    if (m_harness.runningTarget(node) != send.target) {
        m_harness.callLater(localDelay, [this, run] { deliver(run.node, AttemptFinished{run.id, AttemptNotRun()}); });
        return;
    }
    Call &call = *m_accepted.at({run.node, send.request}).call;
    call.reached.try_emplace({node, send.target.incarnation}, m_harness.now());
    if (m_harness.isUndisturbed(node, calmTime)) {
        call.begins.push_back(m_harness.now());
    }
    m_runs.push_back(run);
    ++call.running;
    call.begunAt = m_harness.now();
    expireAt(run, send.deadline);
    // A target stops its work at the time that it is told, and says so.
    const Duration work = speeds.empty() ? call.work : std::chrono::duration_cast<Duration>(call.work / speeds[node % speeds.size()]);
    const Duration time = m_harness.timeUntil(node, send.workEnd);
    if (send.workEnd < send.deadline && time < work && !call.crashesTargets && !call.ignoresTime) {
        m_harness.callLater(time, [this, run, send, &call] { endRunLate(run, send, call); });
        return;
    }
    m_harness.callLater(call.crashesTargets ? crashDelay : work, [this, run, target = send.target, &call] { endRun(run, target, call); });
}

void RequestPlay::endRun(const Attempt &run, const TargetInstance &target, Call &call)
{
    if (m_harness.runningTarget(run.node.first) != target || std::erase(m_runs, run) == 0) {
        return;
    }
    if (!call.crashesTargets) {
        --call.running;
        answer(run);
        return;
    }
    if (m_harness.isUp(run.node.first)) {
        call.crashes.push_back(m_harness.now());
    }
    m_runs.push_back(run);
    crash(run.node.first);
}

void RequestPlay::endRunLate(const Attempt &run, const SendToTarget &send, Call &call)
{
    if (m_harness.runningTarget(run.node.first) != send.target || std::erase(m_runs, run) == 0) {
        return;
    }
    --call.running;
    if (send.retriesExpiredWork) {
        deliver(run.node, AttemptFinished{run.id, AttemptUnknown{.reason = AttemptUnknown::Reason::WorkTimeExpired, .status = lateStatus}});
    } else {
        answer(run, lateStatus);
    }
}

void RequestPlay::expireAt(const Attempt &attempt, MonotonicTime deadline)
{
    const Duration left = m_harness.timeUntil(attempt.node.first, deadline);
    if (left > Duration::zero()) {
        // The node's clock may be slow.
        m_harness.callLater(left, [this, attempt, deadline] { expireAt(attempt, deadline); });
        return;
    }
    const auto accepted = m_accepted.find({attempt.node, attempt.request});
    if (accepted == m_accepted.end() || !m_cancelled.insert({attempt.node, attempt.id}).second) {
        return;
    }
    // A target stops its work at the deadline that it was given.
    accepted->second.call->running -= std::erase(m_runs, attempt);
    AttemptUnknown late;
    late.reason = AttemptUnknown::Reason::DeadlineExpired;
    deliver(attempt.node, AttemptFinished{attempt.id, late});
}

void RequestPlay::forward(std::size_t node, const ForwardRequest &forward)
{
    const Attempt from{runOf(node), forward.attempt, forward.request};
    const Accepted &accepted = m_accepted.at({from.node, forward.request});
    RequestArrived arrived = accepted.arrived;
    arrived.hops = forward.hops;
    arrived.entry = forward.entry;
    arrived.entryEndsIn = forward.entryEndsIn;
    arrived.entryEndsAt = forward.entryEndsAt;
    arrived.routed = forward.routed;
    arrived.timeout = m_harness.timeUntil(node, forward.deadline);
    arrived.waitedBefore = forward.waited;
    expireAt(from, forward.deadline);
    m_harness.callLater(networkDelay, [this, from, arrived, to = std::size_t(forward.peer.port), call = accepted.call] {
        if (!m_harness.isUp(to) || m_harness.isIsolated(to) || m_harness.isIsolated(from.node.first)) {
            deliver(from.node, AttemptFinished{from.id, AttemptNotRun()});
            return;
        }
        accept(to, arrived, *call, from);
    });
}

void RequestPlay::refuse(std::size_t node, const RefuseRequest &refusal)
{
    const Accepted accepted = m_accepted.extract({runOf(node), refusal.request}).mapped();
    if (!accepted.from) {
        Call &call = *accepted.call;
        ++call.ended;
        call.endedLate += refusal.status == lateStatus ? 1 : 0;
        const bool lost = call.runLostAt && m_harness.now() - *call.runLostAt <= brokenOffWithin;
        const bool late = refusal.status == lateStatus && m_harness.now() >= call.sentAt + call.timeout - call.timeout / driftDivisor;
        const bool inTime = refusal.outcome == Outcome::Unknown && !late;
        if (refusal.outcome == Outcome::NotRun) {
            call.notRunAt = m_harness.now();
        } else if (inTime && (call.running > 0 || lost)) {
            call.brokenOffAt = m_harness.now();
            call.brokenOffWith = refusal.detail;
        }
        accepted.call->refusedAsSuspect += refusal.reason == NotRunReason::TargetsCrashed ? 1 : 0;
        return;
    }
    AttemptFinished finished{accepted.from->id, {}};
    finished.result = AttemptNotRun{.reason = refusal.reason, .retryAfter = refusal.retryAfter, .newerFence = {}, .status = refusal.status};
    if (refusal.outcome == Outcome::Unknown) {
        const auto reason = refusal.workTimeExpired ? AttemptUnknown::Reason::WorkTimeExpired : AttemptUnknown::Reason::PeerUnknown;
        finished.result = AttemptUnknown{.reason = reason, .status = refusal.status, .crashedTarget = refusal.crashedTarget};
    }
    m_harness.callLater(networkDelay, [this, to = *accepted.from, finished] {
        m_harness.whenRead(to.node.first, [this, to, finished] {
            if (!m_cancelled.contains({to.node, to.id})) {
                deliver(to.node, finished);
            }
        });
    });
}

void RequestPlay::transfer(const NodeRun &node, std::uint64_t bytes, const Attempt &upstream, std::uint16_t status)
{
    if (linkBytesPerSecond <= 0 || bytes <= smallAnswerBytes) {
        m_harness.callLater(networkDelay, [this, upstream, status] { answer(upstream, status); });
        return;
    }
    std::vector<Transfer> &link = m_links[node];
    const auto sending = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(bytes) / linkBytesPerSecond));
    link.push_back({static_cast<double>(bytes), m_harness.now(), m_harness.now() + 2 * sending, upstream});
    measureLink(node);
    if (link.size() == 1) {
        m_harness.callLater(linkStep, [this, node] { carry(node); });
    }
}

/** Sends what the link of the node carries in one step, the answer that is due first. */
void RequestPlay::carry(const NodeRun &node)
{
    std::vector<Transfer> &link = m_links[node];
    for (double room = linkBytesPerSecond * std::chrono::duration<double>(linkStep).count(); room > 0 && !link.empty();) {
        const auto first = std::ranges::min_element(link, {}, &Transfer::dueAt);
        const double sent = std::min(room, first->bytesLeft);
        room -= sent;
        first->bytesLeft -= sent;
        if (first->bytesLeft <= 0) {
            linkTimes.push_back(m_harness.now() - first->begunAt);
            m_harness.callLater(networkDelay, [this, upstream = first->upstream] { answer(upstream); });
            link.erase(first);
        }
    }
    measureLink(node);
    if (!link.empty()) {
        m_harness.callLater(linkStep, [this, node] { carry(node); });
    }
}

void RequestPlay::measureLink(const NodeRun &node)
{
    double waiting = 0;
    for (const Transfer &transfer : m_links[node]) {
        waiting += transfer.bytesLeft;
    }
    deliver(node, LinkQueueMeasured{static_cast<std::uint64_t>(waiting)});
}

void RequestPlay::answer(const Attempt &attempt, std::uint16_t status)
{
    m_harness.whenRead(attempt.node.first, [this, attempt, status] { readAnswer(attempt, status); });
}

void RequestPlay::readAnswer(const Attempt &attempt, std::uint16_t status)
{
    if (m_cancelled.contains({attempt.node, attempt.id})) {
        return;
    }
    const auto accepted = m_accepted.extract({attempt.node, attempt.request});
    const std::uint64_t bytes = accepted.empty() || status == lateStatus ? 0 : accepted.mapped().call->answerBytes;
    deliver(attempt.node, AttemptFinished{attempt.id, AttemptAnswered{status, {}, bytes}});
    if (!accepted.empty() && accepted.mapped().from) {
        transfer(attempt.node, bytes, *accepted.mapped().from, status);
    } else if (!accepted.empty()) {
        ++accepted.mapped().call->ended;
        accepted.mapped().call->endedLate += status == lateStatus ? 1 : 0;
    }
}

} // namespace nutmeghinge
