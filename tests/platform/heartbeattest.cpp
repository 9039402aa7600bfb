#include "fencenumber.h"
#include "heartbeatserver.h"
#include "jsonreader.h"
#include "targetreport.h"
#include "timings.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace nutmeghinge::hosted;
using namespace std::chrono_literals;

namespace {

nlohmann::json heartbeat()
{
    return {{"service", "roster"},
            {"address", "10.1.0.9:8080"},
            {"zone", "a"},
            {"version", "v1"},
            {"slots", 9},
            {"state", "ready"},
            {"warmup_left", 1500},
            {"sequence", 4},
            {"born", 1777627295050}};
}

bool isAccepted(const nlohmann::json &body)
{
    return std::holds_alternative<TargetAnnounced>(parseHeartbeat("i-1", jsonToText(body)));
}

} // namespace

TEST_CASE("parseHeartbeat reads the service, address, slots, state, start and key ranges of the target")
{
    nlohmann::json body = heartbeat();
    body["holds"] = {{0, 4095, fenceToNumber({Term(65537), 3})}};
    body["released"] = {{4096, 8191, "5c0e"}};
    const auto read = parseHeartbeat("i-1", jsonToText(body));
    const auto &announced = std::get<TargetAnnounced>(read);
    CHECK(announced.target == TargetName("i-1"));
    CHECK(announced.service == ServiceName("roster"));
    CHECK(announced.endpoint == Endpoint{"10.1.0.9", 8080});
    CHECK(announced.slots == 9);
    CHECK_FALSE(announced.draining);
    CHECK(announced.sequence == 4);
    CHECK(announced.targetIncarnation == 1777627295050);
    CHECK(announced.warmUpLeft == 1500ms);
    REQUIRE(announced.targetLeases);
    CHECK(announced.targetLeases->held == std::vector<HeldRange>{{0, 4095, {Term(65537), 3}}});
    CHECK(announced.targetLeases->released == std::vector<ReleasedRange>{{4096, 8191, "5c0e"}});
}

TEST_CASE("A heartbeat of another writer, with any field missing or of another type, names no target")
{
    nlohmann::json complete = heartbeat();
    complete["holds"] = {{0, 4095, 7}};
    complete["released"] = {{4096, 8191, "5c0e"}};
    REQUIRE(isAccepted(complete));
    const std::vector<nlohmann::json> values{nullptr, true, -1, 1.5, 1e30, "", "x", nlohmann::json::array(), nlohmann::json::object(), {{0, 5}}, {{5, 4, 1}}};
    for (const auto &[field, valid] : complete.items()) {
        INFO("field " << field);
        nlohmann::json body = complete;
        body.erase(field);
        CHECK_FALSE(isAccepted(body));
        for (const nlohmann::json &value : values) {
            INFO("value " << value);
            body[field] = value;
            const bool isName = (field == "service" || field == "zone" || field == "version") && value == "x";
            const bool isEmptyList = (field == "holds" || field == "released") && value == nlohmann::json::array();
            CHECK(isAccepted(body) == (isName || isEmptyList));
        }
    }
}

TEST_CASE("parseHeartbeat rejects a value out of range, an unknown word and an incomplete range of keys")
{
    const auto [field, value] = GENERATE(table<std::string, nlohmann::json>({
        {"service", std::string(201, 's')},
        {"address", "nowhere"},
        {"address", "10.1.0.9:65536"},
        {"slots", 0},
        {"slots", 4294967296},
        {"slots", "9"},
        {"state", "resting"},
        {"state", "READY"},
        {"warmup_left", "0"},
        {"sequence", 0},
        {"born", 0},
        {"born", "1777627295050"},
        {"holds", {{0, 65536, 1}}},
        {"holds", {{0, 5, -1}}},
        {"holds", {{0, 5, "1"}}},
        {"released", {{0, "x", ""}}},
        {"released", {{0, 5, 7}}},
    }));
    nlohmann::json body = heartbeat();
    body["holds"] = nlohmann::json::array();
    body["released"] = nlohmann::json::array();
    REQUIRE(isAccepted(body));
    body[field] = value;
    INFO(field << " " << value);
    CHECK_FALSE(isAccepted(body));
}

TEST_CASE("parseHeartbeat accepts each form that a real target may send")
{
    nlohmann::json body = heartbeat();
    SECTION("without keys") { }
    SECTION("of a target that has warmed up")
    {
        body["warmup_left"] = 0;
    }
    SECTION("of an older version of the target")
    {
        body["version"] = "0.9-old";
    }
    SECTION("draining")
    {
        body["state"] = "draining";
    }
    SECTION("with fields that are not known yet")
    {
        body["rack"] = {{"row", 7}};
    }
    SECTION("without keys yet")
    {
        body["holds"] = nlohmann::json::array();
        body["released"] = nlohmann::json::array();
    }
    CHECK(isAccepted(body));
}

TEST_CASE("parseHeartbeat rejects text that is not a JSON object with the fields of a heartbeat")
{
    for (const std::string text : {"", "{", "[]", "null", "\xff\xfe"}) {
        CHECK(std::holds_alternative<TargetReportError>(parseHeartbeat("i-1", text)));
    }
    for (const std::string &name : {std::string(), std::string("a/b"), std::string("a b"), std::string(201, 'i')}) {
        CHECK(std::holds_alternative<TargetReportError>(parseHeartbeat(name, jsonToText(heartbeat()))));
    }
}

TEST_CASE("parseNotice takes a notice without a body or with the target's start, and rejects every other form")
{
    const auto notice = std::get<TargetLeaving>(parseNotice("i-1", "", 5000));
    CHECK(notice.target == TargetName("i-1"));
    CHECK_FALSE(notice.targetIncarnation);
    CHECK(notice.newestIncarnation == 5000);
    CHECK(std::get<TargetLeaving>(parseNotice("i-1", R"({"born":4000,"rack":7})", 5000)).targetIncarnation == 4000);
    for (const std::string text : {R"({"born":"4000"})", R"({"born":0})", R"({"born":-1})", R"({"born":1.5})", R"({"born":null})", "[]", "{", "\xff"}) {
        INFO(text);
        CHECK(std::holds_alternative<TargetReportError>(parseNotice("i-1", text, 5000)));
    }
    CHECK(std::holds_alternative<TargetReportError>(parseNotice("", "", 5000)));
    CHECK(std::holds_alternative<TargetReportError>(parseNotice("a/b", "", 5000)));
}

TEST_CASE("The answer to a heartbeat lists all granted ranges and the lease time, or is empty without a grant")
{
    CHECK(heartbeatAnswerBody({1, std::nullopt}) == "{}");
    const TargetLeaseGrant grant{{{0, 4095, {Term(65537), 3}, ""}, {9000, 9999, {Term(65537), 4}, "7a21"}}, 4000ms};
    const nlohmann::json answer = nlohmann::json::parse(heartbeatAnswerBody({1, grant}));
    CHECK(answer["hold_time"] == 4000);
    CHECK(answer["holds"] == nlohmann::json({{0, 4095, fenceToNumber({Term(65537), 3}), ""}, {9000, 9999, fenceToNumber({Term(65537), 4}), "7a21"}}));
}

TEST_CASE("An answer with 40 ranges and their handover tokens fits into the 4096 bytes that a target accepts")
{
    TargetLeaseGrant grant;
    for (std::uint32_t i = 0; i < 40; ++i) {
        grant.ranges.push_back({65000 + i, 65001 + i, {Term(589833), 1000 + i}, "0123456789abcdef"});
    }
    CHECK(heartbeatAnswerBody({1, grant}).size() <= 4096);
}

TEST_CASE("Fences as integers keep their order and stay below the largest integer that JSON readers represent exactly")
{
    CHECK(fenceToNumber({Term(65537), 9}) < fenceToNumber({Term(65538), 1}));
    CHECK(fenceToNumber({Term(65537), 9}) < fenceToNumber({Term(65537), 10}));
    CHECK(fenceFromNumber(fenceToNumber({Term(65537), 9})) == Fence{Term(65537), 9});
    const std::uint64_t lastCounter = (std::uint64_t(1) << 23U) - 1;
    const std::uint64_t lastSequence = Fence::sequencesPerTerm - 1;
    CHECK(fenceToNumber({Term(65536 * lastCounter + 65535), lastSequence}) < (std::uint64_t(1) << 53U));
    CHECK(fenceToNumber({Term(65537), lastSequence}) < fenceToNumber({Term(65538), 0}));
    CHECK(Timings().mapVersionsPerTerm < Fence::sequencesPerTerm);
}
