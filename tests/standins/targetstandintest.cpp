#include "targetstandin.h"
#include "eventloop.h"
#include "httpcaller.h"
#include "httpexchange.h"
#include "targetclient.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

TargetStandin::Options optionsOf(std::uint32_t slots, std::uint64_t serviceTimeMs)
{
    TargetStandin::Options options;
    options.service = "advice-desk";
    options.name = "advice-1";
    options.slots = slots;
    options.queue = 1;
    options.serviceTimeMs = serviceTimeMs;
    return options;
}

/** A target stand-in and an HTTP client on one event loop. */
class Fixture
{
public:
    explicit Fixture(TargetStandin::Options options = optionsOf(2, 1))
        : target(loop, std::move(options))
        , endpoint(std::get<Endpoint>(target.listen({"127.0.0.1", 0})))
    {
        caller.setEndpoint(endpoint);
    }

    HttpCaller::Pending startOrder(const std::string &order, HttpHeaders headers = {})
    {
        headers.emplace_back("x-order", order);
        headers.emplace_back("customer-key", "teak");
        return caller.start("POST", "/orders", headers, "{}");
    }

    CollectedAnswer order(const std::string &order, const HttpHeaders &headers = {}) { return caller.finish(startOrder(order, headers)); }

    CollectedAnswer control(const json &faults) { return caller.post("/control", faults); }

    json executions() { return caller.read("/executions"); }

    EventLoop loop;
    TargetStandin target;
    HttpCaller caller{loop};
    Endpoint endpoint;
};

bool isNotRun(const CollectedAnswer &answer, std::uint16_t status)
{
    return answer.isComplete(status) && findHeader(answer.headers, "nutmeghinge-outcome") == "not-run";
}

} // namespace

TEST_CASE("The target stand-in counts each execution of an order")
{
    Fixture fixture;
    const CollectedAnswer answer = fixture.order("o1", {{"nutmeghinge-request-id", "77"}});
    REQUIRE(answer.isComplete(200));
    CHECK(findHeader(answer.headers, "nutmeghinge-request-id") == "77");
    CHECK(json::parse(answer.body) == json::parse(R"({"target":"advice-1","key":"teak","order":"o1","served":1})"));
    fixture.order("o1");
    fixture.caller.call("POST", "/orders", {{"idempotency-key", "o2"}}, "{}");
    fixture.caller.call("GET", "/advice", {{"x-order", "o3"}});
    CHECK(fixture.executions() == json::parse(R"({"o1":2,"o2":1})"));
    CHECK(fixture.caller.read("/control").at("served") == 4);
}

TEST_CASE("The target stand-in refuses requests beyond its slots and queue without running them")
{
    Fixture fixture(optionsOf(2, 50));
    std::vector<HttpCaller::Pending> pending;
    for (const std::string order : {"o1", "o2", "o3", "o4"}) {
        pending.push_back(fixture.startOrder(order));
    }
    std::size_t refused = 0;
    for (const HttpCaller::Pending &answer : pending) {
        refused += isNotRun(fixture.caller.finish(answer), 503) ? 1 : 0;
    }
    CHECK(refused == 1);
    CHECK(fixture.executions().size() == 3);
}

TEST_CASE("The target stand-in does not run a queued request that its caller cancelled")
{
    Fixture fixture(optionsOf(1, 50));
    const auto first = fixture.startOrder("o1");
    const auto second = fixture.startOrder("o2");
    fixture.caller.runner().runFor(10ms);
    fixture.caller.cancelLast();
    CHECK(fixture.caller.finish(first).isComplete(200));
    fixture.caller.runner().runFor(80ms);
    CHECK(fixture.executions() == json::parse(R"({"o1":1})"));
    CHECK(fixture.caller.read("/control").at("cancelled") == 1);
    CHECK(fixture.order("o3").isComplete(200));
}

TEST_CASE("The target stand-in refuses a request that cannot end before its deadline")
{
    Fixture fixture(optionsOf(1, 30));
    CHECK(isNotRun(fixture.order("o1", {{"nutmeghinge-deadline-ms", "10"}}), 503));
    CHECK(fixture.order("o2", {{"nutmeghinge-deadline-ms", "1000"}}).isComplete(200));
    CHECK(fixture.executions() == json::parse(R"({"o2":1})"));
}

TEST_CASE("A target stand-in that checks fences refuses requests and grants with an outdated fence")
{
    TargetStandin::Options options = optionsOf(2, 1);
    options.checkFence = true;
    Fixture fixture(options);
    const auto withFence = [](const std::string &shard, const std::string &fence) {
        return HttpHeaders{{"nutmeghinge-shard", shard}, {"nutmeghinge-fence", fence}};
    };
    CHECK(isNotRun(fixture.order("o1"), 400));
    CHECK(fixture.order("o2", withFence("3", "2.9")).isComplete(200));
    const CollectedAnswer old = fixture.order("o3", withFence("3", "2.8"));
    CHECK(isNotRun(old, 409));
    CHECK(findHeader(old.headers, "nutmeghinge-newer-fence") == "2.9");
    CHECK(fixture.order("o4", withFence("4", "1.1")).isComplete(200));
    CHECK(fixture.caller.post("/grants", {{"fence", "5.1"}, {"shards", {4}}}).isComplete(204));
    const CollectedAnswer refused = fixture.caller.post("/grants", {{"fence", "4.9"}, {"shards", {4}}});
    CHECK(refused.isComplete(409));
    CHECK(json::parse(refused.body).at("newerFence") == "5.1");
    CHECK(isNotRun(fixture.order("o5", withFence("4", "5.0")), 409));
    CHECK(fixture.executions().size() == 2);
}

TEST_CASE("The target client probes the target stand-in and sends grants to it")
{
    TargetStandin::Options options = optionsOf(2, 1);
    options.checkFence = true;
    Fixture fixture(options);
    std::vector<EventBody> events;
    TargetClient client(fixture.loop, fixture.caller.client(), [&](EventBody event) { events.push_back(std::move(event)); });
    client.run(ProbeTarget{fixture.endpoint});
    client.run(GrantToTarget{fixture.endpoint, {Term(7), 1}, {ShardIndex(1)}});
    REQUIRE(fixture.caller.runner().runUntil([&] { return events.size() == 2; }));
    events.clear();
    client.run(GrantToTarget{fixture.endpoint, {Term(6), 1}, {ShardIndex(1)}});
    REQUIRE(fixture.caller.runner().runUntil([&] { return events.size() == 1; }));
    CHECK(std::get<TargetGrantFinished>(events.front()).newerFence == Fence{Term(7), 1});
    events.clear();
    fixture.control({{"falseHealth", true}, {"falseLoad", 9}});
    client.run(ProbeTarget{fixture.endpoint});
    REQUIRE(fixture.caller.runner().runUntil([&] { return events.size() == 1; }));
    CHECK_FALSE(std::get<TargetProbed>(events.front()).healthy);
    CHECK(std::get<TargetProbed>(events.front()).reportedInFlight == 9U);
}

TEST_CASE("The target stand-in reports its load with the injected delay")
{
    Fixture fixture(optionsOf(2, 100));
    fixture.control({{"lagLoadMs", 60}});
    const auto pending = fixture.startOrder("o1");
    fixture.caller.runner().runFor(20ms);
    CHECK(fixture.caller.read("/load").at("inFlight") == 0);
    fixture.caller.runner().runFor(60ms);
    CHECK(fixture.caller.read("/load").at("inFlight") == 1);
    fixture.caller.finish(pending);
}

TEST_CASE("A target stand-in that was frozen completes the requests received before and during the freeze")
{
    Fixture fixture(optionsOf(2, 20));
    const auto running = fixture.startOrder("o1");
    fixture.caller.runner().runFor(5ms);
    fixture.control({{"freeze", true}});
    const auto arrived = fixture.startOrder("o2");
    const auto health = fixture.caller.start("GET", "/health");
    fixture.caller.runner().runFor(60ms);
    CHECK_FALSE(running->has_value());
    CHECK_FALSE(arrived->has_value());
    CHECK_FALSE(health->has_value());
    fixture.control({{"freeze", false}});
    CHECK(fixture.caller.finish(running).isComplete(200));
    CHECK(fixture.caller.finish(arrived).isComplete(200));
    CHECK(fixture.caller.finish(health).isComplete(200));
}

TEST_CASE("The target stand-in swaps, truncates or drops answers after running the orders")
{
    Fixture fixture;
    fixture.order("o1", {{"nutmeghinge-request-id", "1"}});
    fixture.control({{"crossAnswers", 1}});
    const CollectedAnswer crossed = fixture.order("o2", {{"nutmeghinge-request-id", "2"}});
    CHECK(findHeader(crossed.headers, "nutmeghinge-request-id") == "1");
    CHECK(json::parse(crossed.body).at("order") == "o1");
    fixture.control({{"truncateAnswers", 1}});
    CHECK(fixture.order("o3").result == HttpCallResult::Truncated);
    fixture.control({{"dropAnswers", 1}});
    CHECK(fixture.order("o4").result == HttpCallResult::ConnectionLost);
    CHECK(fixture.order("o5", {{"nutmeghinge-request-id", "5"}}).isComplete(200));
    CHECK(fixture.executions().size() == 5);
}

TEST_CASE("The target stand-in silences its open connections and serves new ones")
{
    Fixture fixture(optionsOf(2, 100));
    const auto running = fixture.startOrder("o1");
    fixture.caller.runner().runFor(10ms);
    fixture.control({{"silenceConnections", true}});
    fixture.caller.runner().runFor(50ms);
    // The pool reuses the idle connection of the control request, which is silenced too.
    const auto silent = fixture.startOrder("o2");
    const auto answered = fixture.startOrder("o3");
    CHECK(fixture.caller.finish(answered).isComplete(200));
    CHECK_FALSE(running->has_value());
    CHECK_FALSE(silent->has_value());
    CHECK(fixture.caller.finish(silent).result == HttpCallResult::DeadlineExpired);
    CHECK(fixture.caller.finish(running).result == HttpCallResult::DeadlineExpired);
}

TEST_CASE("The target stand-in sends a download completely and frees its slot afterwards")
{
    Fixture fixture(optionsOf(1, 1));
    const CollectedAnswer answer = fixture.caller.call("GET", "/download?bytes=20000000");
    REQUIRE(answer.isComplete(200));
    CHECK(answer.body.size() == 20000000);
    CHECK(fixture.caller.read("/load").at("inFlight") == 0);
    CHECK(fixture.order("o1").isComplete(200));
}

TEST_CASE("The target stand-in announces itself, and announces at once that it is draining")
{
    EventLoop loop;
    std::vector<json> announcements;
    HttpServer node(loop, {}, [&](const std::shared_ptr<HttpExchange> &exchange) {
        announcements.push_back(json::parse(exchange->request().body.text()));
        exchange->answer(204, {}, {});
    });
    TargetStandin::Options options = optionsOf(20, 1);
    options.node = std::get<Endpoint>(node.listen({"127.0.0.1", 0}));
    options.incarnation = 4;
    TargetStandin target(loop, options);
    const auto endpoint = std::get<Endpoint>(target.listen({"127.0.0.1", 0}));
    HttpCaller caller(loop);
    caller.setEndpoint(endpoint);
    REQUIRE(caller.runner().runUntil([&] { return announcements.size() == 2; }));
    CHECK(announcements.front()
          == json{{"service", "advice-desk"},
                  {"target", "advice-1"},
                  {"address", "127.0.0.1"},
                  {"port", endpoint.port},
                  {"slots", 20},
                  {"connections", 130},
                  {"incarnation", 4},
                  {"draining", false}});
    caller.post("/control", {{"drain", true}});
    REQUIRE(caller.runner().runUntil([&] { return announcements.size() == 3; }));
    CHECK(announcements.back().at("draining") == true);
    caller.call("GET", "/advice");
    CHECK(caller.read("/control").at("arrivalsSinceDrain") == 1);
}
