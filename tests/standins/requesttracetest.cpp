#include "requesttrace.h"
#include "logreader.h"

#include <catch2/catch.hpp>
#include <sstream>

using namespace nutmeghinge;

namespace {

std::string logLine(const std::string &node, const std::string &message)
{
    return nlohmann::json({{"timeMs", 1}, {"level", "info"}, {"node", node}, {"message", message}}).dump() + '\n';
}

/** Logs of two nodes, one after the other; a log collector added a prefix to one line. */
const std::string nodeLogs = logLine("node-b", "listening for callers on 127.0.0.1:80")
                             + logLine("node-b", "ShardGranted shard=1000 member=4 fence=3.2 at=500.0") + logLine("node-b", "TargetAnnounced at=700.0 10 slots")
                             + logLine("node-b", "RequestQueued request=30 id=r-1 shard=1012 at=1005.1") + logLine("node-b", "TargetSilent at=1400.0")
                             + logLine("node-b", "RequestRefused request=30 id=r-1 shard=1012 at=1460.0 no slot of the target became free in time")
                             + "12.01 node-a " + logLine("node-a", "RequestArrived request=6 id=r-1 shard=1012 at=1000.0")
                             + logLine("node-a", "RequestForwarded request=6 id=r-1 shard=1012 member=4 fence=3.2 at=1000.1")
                             + logLine("node-a", "RequestRefused request=6 id=r-1 shard=1012 at=1470.0 the queue for the target is full")
                             + logLine("node-a", "RequestRefused request=7 id=r-2 at=1480.0 no route for this host and path")
                             + R"({"timeMs":1,"level":"info","node":"node-a","mess)" + '\n';

std::vector<TimelineEntry> entriesOf(const std::string &text, LogReader &reader)
{
    std::istringstream stream(text);
    reader.add(stream);
    return reader.takeEntries();
}

} // namespace

TEST_CASE("A trace has the steps of a request on all nodes and the state that each node knew")
{
    LogReader reader;
    const auto trace = RequestTrace::fromEntries("r-1", entriesOf(nodeLogs, reader));
    REQUIRE(trace.has_value());
    CHECK(reader.unreadableLines() == 1);
    std::vector<std::string> kinds;
    for (const RequestTrace::Step &step : trace->steps()) {
        kinds.push_back(step.entry.node + ' ' + step.entry.kind);
    }
    CHECK(kinds
          == std::vector<std::string>{
              "node-a RequestArrived", "node-a RequestForwarded", "node-b RequestQueued", "node-b RequestRefused", "node-a RequestRefused"});
    const RequestTrace::Step &forwarded = trace->steps()[1];
    REQUIRE(forwarded.knownStates.size() == 1);
    CHECK(forwarded.knownStates.front().entry.kind == "ShardGranted");
    CHECK(forwarded.knownStates.front().age == 500);
    const RequestTrace::Step &refused = trace->steps()[3];
    CHECK(refused.after == 455);
    CHECK(refused.knownStates.front().entry.kind == "TargetSilent");
    CHECK(refused.knownStates.front().age == 60);
}

TEST_CASE("The conclusions of a trace tell how the request ended at its entry node and whether it may have run")
{
    LogReader reader;
    const auto conclusions = RequestTrace::fromEntries("r-1", entriesOf(nodeLogs, reader))->conclusions();
    REQUIRE(conclusions.size() == 3);
    CHECK(conclusions[0] == "RequestRefused at node-a: the queue for the target is full.");
    CHECK(conclusions[1] == "No line says that it was sent to a target.");
    CHECK(conclusions[2] == "The longest time passed before RequestRefused at node-b: 455 ms, since RequestQueued at node-b.");
}

TEST_CASE("A trace concludes that a request sent to a target may have run")
{
    LogReader reader;
    const std::string sent =
        logLine("node-b", "RequestSentToTarget request=30 id=r-3 shard=1 at=10.0") + logLine("node-b", "RequestUnknown request=30 id=r-3 at=20.0 x");
    const auto conclusions = RequestTrace::fromEntries("r-3", entriesOf(sent, reader))->conclusions();
    CHECK(conclusions[1] == "It was sent to the target of node-b: it may have run.");
}

TEST_CASE("A request that no log line mentions has no trace")
{
    LogReader reader;
    const auto entries = entriesOf(nodeLogs, reader);
    CHECK_FALSE(RequestTrace::fromEntries("r-9", entries));
    CHECK_FALSE(RequestTrace::fromEntries("", std::vector<TimelineEntry>()));
    CHECK(reader.nodeLines() == 10);
}

TEST_CASE("The JSON of a trace has the age of each known state")
{
    LogReader reader;
    const nlohmann::json json = RequestTrace::fromEntries("r-1", entriesOf(nodeLogs, reader))->toJson();
    CHECK(json["steps"].size() == 5);
    CHECK(json["steps"][1]["beliefs"][0]["ageMs"] == 500);
    CHECK(json["steps"][1]["entry"]["fence"] == "3.2");
    CHECK(json["conclusions"].size() == 3);
}
