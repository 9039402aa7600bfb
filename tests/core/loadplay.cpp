#include "loadplay.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <numbers>

namespace nutmeghinge::test {

using namespace std::chrono_literals;

namespace {

/** Interval of the node's ticks and the target's announcements. */
constexpr Duration tickInterval = 10ms;
/** Time that a message takes between a caller and its node. */
constexpr Duration callerDelay = 3ms;
/** Standard deviation of the logarithm of the work. */
constexpr double workSpread = 0.7;

} // namespace

LoadPlay::LoadPlay(std::uint32_t slots, std::vector<LoadKind> kinds, std::uint64_t seed)
    : m_node(false, slots)
    , m_kinds(std::move(kinds))
    , m_random(seed)
    , m_start(m_node.m_now)
{
    std::vector<RequestRoute> routes;
    for (const LoadKind &kind : m_kinds) {
        RequestRoute route;
        route.host = "roster";
        route.prefix = "/" + kind.name + "/";
        route.timeout = 10s;
        route.objective = kind.objective;
        route.priority = kind.priority;
        route.repeatable = true;
        route.services.push_back({ServiceName("roster"), 1});
        routes.push_back(std::move(route));
    }
    m_node.m_ownership.m_routes.emplace(std::move(routes));
    m_node.m_ownership.m_members.resize(1);
    m_node.m_ownership.m_members.front().service = ServiceName("roster");
    m_node.announce(slots);
    m_node.ownershipChanged();
    const std::function<void()> tick = [this, slots] {
        m_node.announce(slots);
        carryOutEffects();
        m_node.tickAfter(Duration(0));
        carryOutEffects();
    };
    for (Duration time = tickInterval; time < 10min; time += tickInterval) {
        at(m_start + time, tick);
    }
}

void LoadPlay::setSlowStart(Duration slowStart)
{
    m_node.m_ownership.m_document->slowStart = slowStart;
    m_node.ownershipChanged();
}

std::map<std::string, LoadResult> LoadPlay::run(Duration length)
{
    Duration longest{0};
    for (const LoadKind &kind : m_kinds) {
        longest = std::max(longest, kind.patience);
        scheduleArrivals(kind, m_start + length);
    }
    const MonotonicTime end = m_start + length + longest + 1s;
    while (!m_functions.empty() && m_functions.begin()->first <= end) {
        auto next = m_functions.extract(m_functions.begin());
        m_node.m_now = next.key();
        next.mapped()();
    }
    for (const auto &[id, caller] : m_waiting) {
        ++m_results[caller.kind->name].failed;
    }
    for (const auto &[name, result] : m_results) {
        WARN(name << ": of " << result.callers << " callers " << result.inObjective << " in objective, " << result.late << " late, " << result.refused
                  << " refused (" << result.refusedAgain << " again), " << result.failed << " failed; longest wait for a refusal "
                  << result.longestRefusal.count() / 1000 << " ms");
    }
    return m_results;
}

void LoadPlay::scheduleArrivals(const LoadKind &kind, MonotonicTime end)
{
    MonotonicTime time = m_start;
    while (true) {
        time += Duration(static_cast<Duration::rep>(-std::log(drawUniform()) * 1e6 / kind.perSecond));
        if (time >= end) {
            return;
        }
        at(time, [this, &kind, time] {
            ++m_results[kind.name].callers;
            send({&kind, time, time, "/" + kind.name + "/" + std::to_string(m_lastId), 0});
        });
    }
}

void LoadPlay::send(Caller caller)
{
    RequestArrived arrived = RouterFixture::request(++m_lastId);
    arrived.path = caller.path;
    arrived.timeout = caller.firstAt + caller.kind->patience - m_node.m_now;
    caller.sentAt = m_node.m_now;
    ++caller.attempts;
    at(m_node.m_now + callerDelay, [this, arrived, caller] {
        m_waiting.emplace(arrived.request, caller);
        m_node.arrive(arrived);
        carryOutEffects();
    });
}

void LoadPlay::carryOutEffects()
{
    const std::vector<SendToTarget> sent = m_node.all<SendToTarget>();
    const std::vector<RefuseRequest> refusals = m_node.all<RefuseRequest>();
    for (const SendToTarget &effect : sent) {
        serve(effect);
    }
    for (const RefuseRequest &effect : refusals) {
        refused(effect);
    }
}

void LoadPlay::serve(const SendToTarget &sent)
{
    const Caller caller = m_waiting.at(sent.request);
    m_sentAt.push_back(m_node.m_now - m_start);
    const MonotonicTime done = m_node.m_now + drawWork(*caller.kind);
    const bool inTime = done <= sent.deadline;
    at(std::min(done, sent.deadline), [this, sent, caller, inTime] {
        LoadResult &result = m_results[caller.kind->name];
        if (!inTime) {
            // The node may send the request again, if its caller still waits.
            m_node.unknown(sent.attempt, AttemptUnknown::Reason::DeadlineExpired);
        } else {
            const bool met = m_node.m_now + callerDelay <= caller.firstAt + caller.kind->objective;
            ++(met ? result.inObjective : result.late);
            TargetStatement statement;
            statement.limit = std::prev(m_limits.upper_bound(m_node.m_now - m_start))->second;
            if (statement.limit) {
                m_limitNamedAt = std::min(m_limitNamedAt, Duration(m_node.m_now - m_start));
            }
            m_node.targetStated(statement);
            carryOutEffects();
            m_node.answered(sent.attempt);
            m_waiting.erase(sent.request);
        }
        carryOutEffects();
    });
}

void LoadPlay::refused(const RefuseRequest &refusal)
{
    const auto waiting = m_waiting.extract(refusal.request);
    if (waiting.empty()) {
        return;
    }
    const Caller caller = waiting.mapped();
    LoadResult &result = m_results[caller.kind->name];

    result.longestRefusal = std::max(result.longestRefusal, Duration(m_node.m_now - caller.sentAt));
    const Duration left = caller.firstAt + caller.kind->patience - m_node.m_now;
    const Duration wait = std::min(refusal.retryAfter, left / 3);
    if (refusal.outcome != Outcome::NotRun || caller.attempts > caller.kind->returns || left <= 2 * callerDelay) {
        ++result.refused;
        result.refusedAgain += caller.attempts > 1 ? 1 : 0;
        return;
    }
    at(m_node.m_now + wait + callerDelay, [this, caller] { send(caller); });
}

Duration LoadPlay::drawWork(const LoadKind &kind)
{
    const double normal = std::sqrt(-2 * std::log(drawUniform())) * std::cos(2 * std::numbers::pi * drawUniform());
    const double factor = std::exp(workSpread * normal - workSpread * workSpread / 2);
    const double speed = std::prev(m_workFactors.upper_bound(m_node.m_now - m_start))->second;
    return Duration(static_cast<Duration::rep>(static_cast<double>(kind.meanWork.count()) * factor * speed));
}

double LoadPlay::drawUniform()
{
    constexpr std::uint64_t steps = std::uint64_t(1) << 30U;
    return (static_cast<double>(m_random.below(steps)) + 0.5) / static_cast<double>(steps);
}

} // namespace nutmeghinge::test
