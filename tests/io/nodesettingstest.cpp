#include "../core/examplefile.h"
#include "nodesettingsparser.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;

namespace {

const std::string validText = "node: a\nzone: z\nregion: r\nplatform: 127.0.0.1:9000\nlisten:\n"
                              "  callers: 127.0.0.1:0\n  peers: 127.0.0.1:0\n  control: 127.0.0.1:0\n  target: 127.0.0.1:0\n  operations: ::1:0\n";

struct BrokenSettings {
    std::string from;
    std::string to;
    DocumentError error;
};

const std::vector<BrokenSettings> brokenSettings{
    {"node: a", "node: a/b", {1, "node", "must be made of letters, digits, '.', '_' and '-' and not begin with '.'"}},
    {"zone: z", "zones: z", {1, "zone", "is missing"}},
    {"127.0.0.1:9000", "localhost:9000", {4, "platform", "must be an IP address and a port, such as 127.0.0.1:9000"}},
    {"127.0.0.1:9000", "127.0.0.1:0", {4, "platform", "must have a port other than 0"}},
    {"peers: 127.0.0.1:0", "peers: 127.0.0.1:70000", {7, "listen.peers", "must be an IP address and a port, such as 127.0.0.1:9000"}},
    {"  peers: 127.0.0.1:0\n", "", {5, "listen.peers", "is missing"}},
    {"::1:0\n", "::1:0\nlog: {level: loud}\n", {11, "log.level", "must be trace or debug or info or warning or error or critical or off, not \"loud\""}},
    {"::1:0\n", "::1:0\ntimeline: {records: 0}\n", {11, "timeline.records", "must be from 1 to 100000"}},
    {"::1:0\n", "::1:0\ntableRowBytes: 10\n", {11, "tableRowBytes", "must be from 4096 to 16777216"}},
    {"::1:0\n", "::1:0\nsecret: x\n", {11, "secret", "is not a known field"}},
};

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("Each error in a node's settings is reported with line, field and reason")
{
    REQUIRE(std::holds_alternative<NodeSettings>(parseNodeSettings(validText)));
    for (const BrokenSettings &broken : brokenSettings) {
        INFO(broken.to);
        const ParsedNodeSettings parsed = parseNodeSettings(replaced(validText, broken.from, broken.to));
        REQUIRE(std::holds_alternative<std::vector<DocumentError>>(parsed));
        CHECK(std::get<std::vector<DocumentError>>(parsed).front() == broken.error);
    }
    CHECK(std::get<std::vector<DocumentError>>(parseNodeSettings("{}")).size() == 5);
}

TEST_CASE("The example settings are valid and all their fields are read")
{
    REQUIRE(std::holds_alternative<NodeSettings>(parseNodeSettings(exampleText("node-roster-1.yaml"))));
    const ParsedNodeSettings parsed = parseNodeSettings(exampleText("node-advice-1.yaml"));
    REQUIRE(std::holds_alternative<NodeSettings>(parsed));
    NodeSettings expected;
    expected.node = NodeName("advice-1");
    expected.zone = ZoneName("bangkok-a");
    expected.region = RegionName("central-thailand");
    expected.platform = {"10.20.0.10", 9000};
    expected.listenCallers = {"10.20.1.1", 8080};
    expected.listenPeers = {"10.20.1.1", 8081};
    expected.listenControl = {"10.20.1.1", 8082};
    expected.listenTarget = {"127.0.0.1", 8083};
    expected.listenOperations = {"10.20.1.1", 8084};
    expected.logLevel = "info";
    expected.logFormat = LogFormat::Json;
    expected.timelineRecords = 20000;
    CHECK(std::get<NodeSettings>(parsed) == expected);
}
