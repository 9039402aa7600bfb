#include "targetclient.h"
#include "httpclient.h"
#include "looprunner.h"
#include "scriptedserver.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace nutmeghinge;
using namespace std::chrono_literals;

namespace {

/** A TargetClient and a scripted server as its target. */
class Fixture
{
public:
    template <typename EventType, typename Effect>
    EventType run(const Effect &effect)
    {
        events.clear();
        target.run(effect);
        REQUIRE(runner.runUntil([&] { return !events.empty(); }));
        runner.runFor(5ms);
        REQUIRE(events.size() == 1);
        return std::get<EventType>(events.front());
    }

    TargetProbed probe(const ScriptedAnswer &health, const ScriptedAnswer &load)
    {
        server.setScript([=](const HttpRequest &request) { return request.path == "/health" ? health : load; });
        return run<TargetProbed>(ProbeTarget{server.endpoint()});
    }

    TargetGrantFinished grant(const ScriptedAnswer &answer)
    {
        server.setScript([=](const HttpRequest &) { return answer; });
        return run<TargetGrantFinished>(GrantToTarget{server.endpoint(), {Term(3), 14}, {ShardIndex(0), ShardIndex(255)}});
    }

    EventLoop loop;
    LoopRunner runner{loop};
    HttpClient client{loop, 2};
    ScriptedServer server{loop};
    std::vector<EventBody> events;
    TargetClient target{loop, client, [this](EventBody event) { events.push_back(std::move(event)); }};
};

} // namespace

TEST_CASE("A probe reports health and load")
{
    Fixture fixture;
    const TargetProbed healthyTarget = fixture.probe({200, "ok"}, {200, R"({"inFlight":7})"});
    CHECK(healthyTarget.healthy);
    CHECK(healthyTarget.reportedInFlight == 7U);
    const TargetProbed unhealthyTarget = fixture.probe({503, ""}, {404, ""});
    CHECK_FALSE(unhealthyTarget.healthy);
    CHECK_FALSE(unhealthyTarget.reportedInFlight);
    for (const std::string body : {"", "[]", R"({"inFlight":-1})", R"({"inFlight":4294967296})", R"({"inFlight":"7"})"}) {
        const TargetProbed invalidLoad = fixture.probe({200, "ok"}, {200, body});
        CHECK(invalidLoad.healthy);
        CHECK_FALSE(invalidLoad.reportedInFlight);
    }
}

TEST_CASE("A probe reports a target that does not answer within a second as unhealthy")
{
    Fixture fixture;
    const MonotonicTime start = fixture.loop.now();
    const TargetProbed unresponsiveTarget = fixture.probe({0, "", true}, {0, "", true});
    CHECK_FALSE(unresponsiveTarget.healthy);
    CHECK_FALSE(unresponsiveTarget.reportedInFlight);
    CHECK(fixture.loop.now() - start < 2s);
}

TEST_CASE("A grant is accepted, or refused with the newer fence")
{
    Fixture fixture;
    const TargetGrantFinished accepted = fixture.grant({204, ""});
    CHECK(accepted.accepted);
    CHECK(accepted.fence == Fence{Term(3), 14});
    CHECK(fixture.server.requests().back().path == "/grants");
    CHECK(nlohmann::json::parse(fixture.server.requests().back().body.text()) == nlohmann::json::parse(R"({"fence":"3.14","shards":[0,255]})"));

    const TargetGrantFinished refused = fixture.grant({409, R"({"newerFence":"4.1"})"});
    CHECK_FALSE(refused.accepted);
    CHECK(refused.newerFence == Fence{Term(4), 1});
    for (const std::string body : {"", R"({"newerFence":"4"})", R"({"newerFence":"4.x"})", R"({"newerFence":"-4.1"})", R"({"newerFence":4.1})"}) {
        const TargetGrantFinished invalidAnswer = fixture.grant({409, body});
        CHECK_FALSE(invalidAnswer.accepted);
        CHECK_FALSE(invalidAnswer.newerFence);
    }
    CHECK_FALSE(fixture.grant({500, ""}).accepted);
}

TEST_CASE("A check tells whether a process listens at the target's endpoint")
{
    Fixture fixture;
    const TargetInstance target{TargetName("t"), 3};
    const auto listening = fixture.run<TargetChecked>(CheckTarget{fixture.server.endpoint(), target});
    CHECK(listening.state == TargetChecked::State::Listening);
    CHECK(listening.target == target);
    CHECK(fixture.run<TargetChecked>(CheckTarget{Endpoint{"127.0.0.1", 1}, target}).state == TargetChecked::State::Refused);
    CHECK(fixture.run<TargetChecked>(CheckTarget{Endpoint{"no address", 1}, target}).state == TargetChecked::State::Unknown);
}
