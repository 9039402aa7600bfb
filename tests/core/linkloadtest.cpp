#include "linkload.h"
#include "request.h"
#include "requestfixture.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace nutmeghinge::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t linkMegabits = 12;
constexpr std::uint64_t answerBytes = 100000;
constexpr MonotonicTime now{100s};

Request peerRequest(Duration objective, Duration timeout)
{
    Request request;
    request.hops = 1;
    request.workClass = 3;
    request.objectiveAt = now + objective;
    request.deadline = now + timeout;
    return request;
}

LinkLoad linkWithLargeAnswers()
{
    LinkLoad link;
    link.setBandwidth(1500000);
    link.answered(3, answerBytes);
    link.answered(4, 200);
    return link;
}

/** Returns a request that another node passes on, of an unsharded service. */
RequestArrived forwarded(std::uint64_t id)
{
    RequestArrived arrived = RouterFixture::request(id);
    arrived.hops = 1;
    arrived.timeout = 800ms;
    return arrived;
}

} // namespace

TEST_CASE("A link admits as many large answers as it carries within the objective", "[link]")
{
    LinkLoad link = linkWithLargeAnswers();
    std::vector<Request> requests(10, peerRequest(600ms, 4s));
    std::size_t admitted = 0;
    for (Request &request : requests) {
        if (link.admits(request, 200ms, now)) {
            link.admitted(request);
            ++admitted;
        }
    }
    CHECK(admitted == 6);
    CHECK(link.wait() == 600ms);
    link.ended(requests.front());
    CHECK(link.admits(requests.back(), 200ms, now));
}

TEST_CASE("What waits for the link delays further large answers, but not small ones or those of callers on the VM", "[link]")
{
    LinkLoad link = linkWithLargeAnswers();
    link.measured(1000000);
    Request request = peerRequest(600ms, 4s);
    CHECK_FALSE(link.admits(request, 200ms, now));
    request.workClass = 4;
    CHECK(link.admits(request, 200ms, now));
    request.workClass = 3;
    request.hops = 0;
    CHECK(link.admits(request, 200ms, now));
}

TEST_CASE("A request that cannot meet its objective at all is admitted only if its answer waits for no other", "[link]")
{
    LinkLoad link = linkWithLargeAnswers();
    link.measured(150000);
    CHECK(link.admits(peerRequest(100ms, 4s), 200ms, now));
    CHECK_FALSE(link.admits(peerRequest(100ms, 250ms), 200ms, now));
    link.measured(250000);
    CHECK_FALSE(link.admits(peerRequest(100ms, 4s), 200ms, now));
}

TEST_CASE("A link of unknown bandwidth admits everything", "[link]")
{
    LinkLoad link = linkWithLargeAnswers();
    link.setBandwidth(0);
    link.measured(1U << 30U);
    CHECK(link.admits(peerRequest(600ms, 4s), 200ms, now));
    CHECK(link.wait() == Duration(0));
}

// Guards against a target whose link is full and that goes on to take requests for large answers (review/4, LOST).
TEST_CASE("A node whose link is full refuses requests for large answers of other nodes as not run, and says when there is room", "[link]")
{
    RouterFixture node(false, 18, linkMegabits);
    node.arrive(forwarded(1));
    node.finish(node.only<SendToTarget>().attempt, AttemptAnswered{.status = 200, .answer = {}, .bodyBytes = answerBytes});
    std::size_t refused = 0;
    for (std::uint64_t id = 2; id < 20; ++id) {
        node.arrive(forwarded(id));
        for (const RefuseRequest &refusal : node.all<RefuseRequest>()) {
            CHECK(refusal.outcome == Outcome::NotRun);
            CHECK(refusal.reason == NotRunReason::Overloaded);
            CHECK(refusal.retryAfter > 300ms);
            ++refused;
        }
    }
    // The link carries ten answers a second beside other traffic.
    CHECK(refused >= 10);
    CHECK(refused < 15);
    CHECK(node.m_router.takeLoad(node.m_now).linkWait > 300ms);
    // Requests of callers on the VM need no link.
    node.arrive(RouterFixture::request(30));
    CHECK(node.all<RefuseRequest>().empty());
}
