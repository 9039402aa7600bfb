#include "loadgenerator.h"
#include "httpcaller.h"
#include "loadcommand.h"
#include "targetstandin.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

TargetStandin::Options targetOptions(const std::string &name)
{
    TargetStandin::Options options;
    options.service = "advice-desk";
    options.name = name;
    return options;
}

/** Two targets that receive the load without a node, on the same event loop as the generator. */
class Fixture
{
public:
    Fixture()
    {
        load.entries = {std::get<Endpoint>(first.listen({"127.0.0.1", 0})), std::get<Endpoint>(second.listen({"127.0.0.1", 0}))};
        load.targets = load.entries;
        load.host = "advice-desk";
        load.rate = 500;
        load.duration = 400ms;
        load.timeout = 500ms;
        load.orderPercent = 50;
    }

    void control(const Endpoint &target, const json &faults)
    {
        caller.setEndpoint(target);
        REQUIRE(caller.post("/control", faults).isComplete(204));
    }

    LoadReport run()
    {
        LoadGenerator generator(loop, load);
        bool finished = false;
        generator.start([&] { finished = true; });
        REQUIRE(caller.runner().runUntil([&] { return finished; }, 20s));
        return generator.report();
    }

    EventLoop loop;
    TargetStandin first{loop, targetOptions("advice-1")};
    TargetStandin second{loop, targetOptions("advice-2")};
    HttpCaller caller{loop};
    LoadOptions load;
};

} // namespace

TEST_CASE("Healthy targets answer all requests and the report is clean")
{
    Fixture fixture;
    fixture.load.downloadPercent = 5;
    fixture.load.downloadBytes = 100000;
    const LoadReport report = fixture.run();
    const json result = report.toJson();
    INFO(result.dump(2));
    CHECK(report.isClean());
    CHECK(report.count(LoadOutcome::Answered) > 100);
    CHECK(report.count(LoadOutcome::Unknown) == 0);
    CHECK(result.at("unreadTargets") == 0);
    CHECK(result.at("answersByTarget").size() == 2);
    CHECK(result.at("imbalance").get<double>() >= 1);
    CHECK(result.at("imbalance").get<double>() < 1.3);
    CHECK(result.at("latencyMs").at("p50").get<double>() > 0);
    CHECK(result.at("latencyMs").at("p50") <= result.at("latencyMs").at("p99.9"));
    CHECK(result.at("latencyMs").at("p99.9") <= result.at("latencyMs").at("max"));
}

TEST_CASE("Two load runs with the same seed send the same orders")
{
    Fixture fixture;
    fixture.load.orderPercent = 100;
    const auto executionsOf = [&] {
        fixture.caller.setEndpoint(fixture.load.entries[0]);
        json executions = fixture.caller.read("/executions");
        fixture.caller.setEndpoint(fixture.load.entries[1]);
        executions.update(fixture.caller.read("/executions"));
        return executions;
    };
    const LoadReport firstRun = fixture.run();
    const std::size_t orders = executionsOf().size();
    CHECK(firstRun.duplicates() == 0);
    const LoadReport secondRun = fixture.run();
    CHECK(executionsOf().size() == orders);
    CHECK(secondRun.duplicates() == orders);
    CHECK_FALSE(secondRun.isClean());
}

TEST_CASE("The load report counts answers to other requests and truncated answers")
{
    Fixture fixture;
    fixture.control(fixture.load.entries[0], {{"crossAnswers", 3}});
    fixture.control(fixture.load.entries[1], {{"truncateAnswers", 2}});
    const LoadReport report = fixture.run();
    CHECK(report.count(LoadOutcome::Wrong) == 3);
    CHECK(report.count(LoadOutcome::Truncated) == 2);
    CHECK_FALSE(report.isClean());
}

TEST_CASE("Lost answers count as unknown, and refused requests are retried if the retry option is set")
{
    Fixture fixture;
    fixture.control(fixture.load.entries[0], {{"dropAnswers", 4}});
    CHECK(fixture.run().count(LoadOutcome::Unknown) == 4);

    fixture.load.seed = 2;
    fixture.load.entries.push_back({"127.0.0.1", 1});
    const LoadReport refused = fixture.run();
    CHECK(refused.count(LoadOutcome::NotRun) > 20);
    CHECK(refused.falseRefusals() == 0);
    fixture.load.seed = 3;
    fixture.load.retry = true;
    const LoadReport retried = fixture.run();
    CHECK(retried.count(LoadOutcome::NotRun) == 0);
    CHECK(retried.isClean());
}

TEST_CASE("The time during which a target is frozen counts as unavailable")
{
    Fixture fixture;
    fixture.load.entries.pop_back();
    fixture.load.keys = 1;
    fixture.load.timeout = 100ms;
    fixture.control(fixture.load.entries[0], {{"freeze", true}});
    fixture.loop.callLater(250ms, [&] { fixture.caller.start("POST", "/control", {}, R"({"freeze":false})"); });
    const LoadReport report = fixture.run();
    CHECK(report.count(LoadOutcome::Unknown) > 0);
    CHECK(report.count(LoadOutcome::Answered) > 0);
    CHECK(report.longestUnavailable() >= 200ms);
}

TEST_CASE("A refused order that a target ran counts as a false refusal")
{
    LoadReport report(1);
    const LoadRequest order{LoadRequest::Kind::Order, "key", "o1", MonotonicTime()};
    report.requestEnded(order, LoadOutcome::NotRun, "", MonotonicTime(1ms));
    report.compareExecutions({{"o1", 1}}, 0);
    CHECK(report.falseRefusals() == 1);
    CHECK_FALSE(report.isClean());
}

TEST_CASE("The unavailable time of a key lasts from its first failure to its next answer")
{
    LoadReport report(1);
    const auto at = [](int milliseconds) { return MonotonicTime(std::chrono::milliseconds(milliseconds)); };
    report.attemptEnded("a", LoadOutcome::Answered, at(0), at(1));
    report.attemptEnded("a", LoadOutcome::NotRun, at(10), at(11));
    report.attemptEnded("b", LoadOutcome::Answered, at(20), at(21));
    report.attemptEnded("a", LoadOutcome::Answered, at(5), at(22));
    report.attemptEnded("a", LoadOutcome::Unknown, at(30), at(60));
    report.attemptEnded("a", LoadOutcome::Answered, at(70), at(72));
    CHECK(report.longestUnavailable() == 62ms);
    report.attemptEnded("b", LoadOutcome::Unknown, at(100), at(150));
    report.finish(at(0), at(200));
    CHECK(report.longestUnavailable() == 100ms);
}

TEST_CASE("A Zipf distribution with skew draws low ranks more often")
{
    std::mt19937_64 random(1);
    std::vector<int> counts(100);
    const ZipfDistribution skewed(100, 1.0);
    for (int i = 0; i < 10000; ++i) {
        ++counts[skewed.draw(random)];
    }
    CHECK(counts[0] > 1500);
    CHECK(counts[0] > counts[9] * 5);
    std::fill(counts.begin(), counts.end(), 0);
    const ZipfDistribution even(100, 0);
    for (int i = 0; i < 10000; ++i) {
        ++counts[even.draw(random)];
    }
    CHECK(*std::max_element(counts.begin(), counts.end()) < 150);
}

TEST_CASE("The load command rejects invalid arguments")
{
    LoadCommand command;
    CHECK(command.run({}) == ExitCode::InvalidInput);
    CHECK(command.run({"--entries", "nowhere", "--host", "a"}) == ExitCode::InvalidInput);
    CHECK(command.run({"--entries", "127.0.0.1:1", "--host", "a", "--rate", "0"}) == ExitCode::InvalidInput);
    CHECK(command.run({"--entries", "127.0.0.1:1", "--host", "a", "--orders", "60", "--downloads", "41"}) == ExitCode::InvalidInput);
    CHECK(command.run({"--entries", "127.0.0.1:1", "--host", "a", "--unknown"}) == ExitCode::InvalidInput);
    CHECK(command.run({"--help"}) == ExitCode::Success);
}
