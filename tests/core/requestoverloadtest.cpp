#include "pseudorandom.h"
#include "requestfixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>

using namespace nutmeghinge;
using namespace nutmeghinge::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t targetSlots = 10;
constexpr Duration meanService = 10ms;
constexpr Duration callerTimeout = 200ms;
constexpr Duration testDuration = 20s;
constexpr double capacity = 1e6 / static_cast<double>(meanService.count()) * targetSlots;

/** Virtual clock that runs functions at their scheduled times, in order. */
class VirtualTime
{
public:
    void at(MonotonicTime time, std::function<void()> function) { m_functions.emplace(time, std::move(function)); }
    void run(MonotonicTime until)
    {
        while (!m_functions.empty() && m_functions.begin()->first <= until) {
            auto next = m_functions.extract(m_functions.begin());
            m_now = next.key();
            next.mapped()();
        }
    }
    MonotonicTime m_now{100s};

private:
    std::multimap<MonotonicTime, std::function<void()>> m_functions;
};

/** A target that processes all requests in FIFO order, including those whose caller no longer waits. */
class BusyTarget
{
public:
    /** Returns the time at which a request that arrives now is completed. */
    MonotonicTime serve(MonotonicTime now)
    {
        const auto slot = std::min_element(m_freeAt.begin(), m_freeAt.end());
        *slot = std::max(*slot, now) + meanService / 2 + Duration(static_cast<Duration::rep>(m_random.below(meanService.count())));
        return *slot;
    }

private:
    std::vector<MonotonicTime> m_freeAt = std::vector<MonotonicTime>(targetSlots);
    PseudoRandom m_random{3};
};

/**
 * Returns how many requests per second are answered in time by a baseline that sends each request immediately and again after
 * each timeout, without a limit, queue or retry budget.
 */
double goodputWithoutBudget(double offered)
{
    constexpr Duration attemptTimeout = 50ms;
    VirtualTime time;
    BusyTarget target;
    std::uint64_t good = 0;
    std::function<void(MonotonicTime)> attempt = [&](MonotonicTime deadline) {
        const MonotonicTime done = target.serve(time.m_now);
        const MonotonicTime timeout = std::min(time.m_now + attemptTimeout, deadline);
        if (done <= timeout) {
            ++good;
        } else if (timeout < deadline) {
            time.at(timeout, [&attempt, deadline] { attempt(deadline); });
        }
    };
    const MonotonicTime start = time.m_now;
    for (Duration at{0}; at < testDuration; at += Duration(static_cast<Duration::rep>(1e6 / offered))) {
        time.at(start + at, [&] { attempt(time.m_now + callerTimeout); });
    }
    time.run(start + testDuration);
    return static_cast<double>(good) / std::chrono::duration<double>(testDuration).count();
}

/** Returns how many requests per second the router answers in time. */
double goodputOfRouter(double offered)
{
    VirtualTime time;
    BusyTarget target;
    RouterFixture node(true, targetSlots);
    std::uint64_t good = 0;
    std::uint64_t id = 0;
    std::function<void()> sendToTarget = [&] {
        for (const auto &sent : node.all<SendToTarget>()) {
            const MonotonicTime done = target.serve(time.m_now);
            time.at(std::min(done, sent.deadline), [&, sent, inTime = done <= sent.deadline] {
                node.m_now = time.m_now;
                good += inTime ? 1 : 0;
                inTime ? node.answered(sent.attempt) : node.unknown(sent.attempt, AttemptUnknown::Reason::DeadlineExpired);
                sendToTarget();
            });
        }
    };
    const MonotonicTime start = time.m_now;
    for (Duration at{0}; at < testDuration; at += 10ms) {
        time.at(start + at, [&] {
            node.m_now = time.m_now;
            node.announce(targetSlots);
            sendToTarget();
            node.tickAfter(Duration(0));
            sendToTarget();
        });
    }
    for (Duration at{0}; at < testDuration; at += Duration(static_cast<Duration::rep>(1e6 / offered))) {
        time.at(start + at, [&] {
            node.m_now = time.m_now;
            RequestArrived request = RouterFixture::request(++id);
            request.timeout = callerTimeout;
            node.arrive(request);
            sendToTarget();
        });
    }
    time.run(start + testDuration);
    return static_cast<double>(good) / std::chrono::duration<double>(testDuration).count();
}

} // namespace

TEST_CASE("Under a load of twice the capacity, the router answers requests at nine tenths of the capacity or more in time", "[request][overload]")
{
    const double routerGoodput = goodputOfRouter(2 * capacity);
    const double baselineGoodput = goodputWithoutBudget(2 * capacity);
    WARN("requests per second answered in time at twice the capacity of " << capacity << ": router " << routerGoodput << ", retries without budget "
                                                                          << baselineGoodput);
    CHECK(routerGoodput >= 0.9 * capacity);
    CHECK(baselineGoodput < 0.5 * capacity);
    CHECK(goodputOfRouter(0.8 * capacity) >= 0.79 * capacity);
}
