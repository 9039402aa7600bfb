#include "platformstandin.h"
#include "eventloop.h"
#include "httpcaller.h"
#include "platformclient.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using nlohmann::json;

namespace {

/** A platform stand-in and an HTTP client on one event loop. */
class Fixture
{
public:
    Fixture()
        : endpoint(std::get<Endpoint>(platform.listen({"127.0.0.1", 0})))
    {
        caller.setEndpoint(endpoint);
    }

    CollectedAnswer write(const std::string &key, const std::string &value, const json &conditions = json::array())
    {
        return caller.post("/table/transact", {{"conditions", conditions}, {"writes", {{{"key", key}, {"value", value}}}}, {"deletes", json::array()}});
    }

    EventLoop loop;
    PlatformStandin platform{loop};
    HttpCaller caller{loop};
    Endpoint endpoint;
};

} // namespace

TEST_CASE("A table transaction checks row versions and applies all writes or none")
{
    Fixture fixture;
    CHECK(fixture.caller.call("GET", "/table/rows/cell/a").status == 404);
    REQUIRE(fixture.write("cell/a", "one").isComplete(200));
    const json row = fixture.caller.read("/table/rows/cell/a");
    CHECK(row.at("value") == "one");
    const CollectedAnswer conflict =
        fixture.caller.post("/table/transact",
                            {{"conditions", {{{"key", "cell/a"}, {"version", row.at("version")}}, {{"key", "cell/b"}, {"version", 1}}}},
                             {"writes", {{{"key", "cell/a"}, {"value", "two"}}, {{"key", "cell/b"}, {"value", "two"}}}},
                             {"deletes", json::array()}});
    CHECK(conflict.status == 409);
    CHECK(json::parse(conflict.body).at("conflicts") == json::parse(R"([{"key":"cell/b","version":0}])"));
    CHECK(fixture.caller.read("/table/rows/cell/a") == row);
    REQUIRE(fixture.write("cell/b", "three", {{{"key", "cell/b"}, {"version", 0}}}).isComplete(200));
    REQUIRE(fixture.write("member/a", "other").isComplete(200));
    CHECK(fixture.caller.read("/table/rows?prefix=cell/").at("rows").size() == 2);
    CHECK(fixture.caller.call("POST", "/table/transact", {}, "{}").status == 400);
}

TEST_CASE("The platform stand-in does not replace an existing object")
{
    Fixture fixture;
    CHECK(fixture.caller.call("GET", "/objects/documents/a/1").status == 404);
    CHECK(fixture.caller.call("PUT", "/objects/documents/a/1", {}, "first").status == 201);
    CHECK(fixture.caller.call("PUT", "/objects/documents/a/1", {}, "second").status == 409);
    CHECK(fixture.caller.call("GET", "/objects/documents/a/1").body == "first");
}

TEST_CASE("The platform stand-in injects outages, delays, failures and lost answers")
{
    Fixture fixture;
    fixture.caller.post("/control", {{"failNext", 1}});
    CHECK(fixture.write("a", "1").status == 500);
    CHECK(fixture.caller.call("GET", "/table/rows/a").status == 404);
    fixture.caller.post("/control", {{"dropAnswers", 1}});
    CHECK(fixture.write("a", "2").result == HttpCallResult::ConnectionLost);
    CHECK(fixture.caller.read("/table/rows/a").at("value") == "2");
    fixture.caller.post("/control", {{"down", true}});
    CHECK(fixture.caller.call("GET", "/table/rows/a").result == HttpCallResult::ConnectionLost);
    fixture.caller.post("/control", {{"down", false}, {"delayMs", 50}});
    const auto slow = fixture.caller.start("GET", "/table/rows/a");
    fixture.caller.runner().runFor(std::chrono::milliseconds(40));
    CHECK_FALSE(slow->has_value());
    CHECK(fixture.caller.finish(slow).status == 200);
    CHECK(fixture.caller.post("/control", {{"delayMs", -1}}).status == 400);
    CHECK(fixture.caller.read("/control").at("writes") == 2);
}

TEST_CASE("The platform stand-in comes back from an older copy, and gives its versions out again")
{
    Fixture fixture;
    fixture.caller.post("/control", {{"countsRestorations", true}});
    fixture.write("cell/a", "one");
    fixture.write("document/a", "first");
    const json before = fixture.caller.read("/table/rows/cell/a");
    fixture.caller.runner().runFor(std::chrono::milliseconds(300));
    fixture.write("cell/a", "two");
    fixture.write("cell/b", "three");
    fixture.write("document/a", "second");
    fixture.caller.post("/control", {{"restoreAgeMs", 200}});
    CHECK(fixture.caller.read("/table/rows/cell/a") == before);
    CHECK(fixture.caller.call("GET", "/table/rows/cell/b").status == 404);
    CHECK(fixture.caller.read("/table/rows/document/a").at("value") == "second");
    CHECK(findHeader(fixture.caller.call("GET", "/table/rows/cell/a").headers, "table-restorations") == "1");
}

TEST_CASE("After a restoration, the platform client reads the cell row as one of an earlier epoch and cannot overwrite a row by chance")
{
    Fixture fixture;
    fixture.caller.post("/control", {{"countsRestorations", true}});
    std::vector<EventBody> events;
    PlatformClient client(fixture.loop, fixture.caller.client(), fixture.endpoint, [&](EventBody event) { events.push_back(std::move(event)); });
    const auto run = [&](const auto &effect, std::size_t results) {
        events.clear();
        client.run(effect);
        REQUIRE(fixture.caller.runner().runUntil([&] { return events.size() == results; }));
        return events.back();
    };
    CellRow row;
    row.service = ServiceName("desk");
    // The first answer states the epoch.
    CHECK(std::holds_alternative<PlatformUnavailable>(std::get<CellRowRead>(run(ReadCellRow{row.service}, 2)).result));
    CHECK(std::get<TableEpochChanged>(events.front()).epoch == TableEpoch(1));
    CHECK(std::holds_alternative<RowAbsent>(std::get<CellRowRead>(run(ReadCellRow{row.service}, 1)).result));
    const auto first = std::get<CellRowWriteFinished>(run(WriteCellRow{RowVersion(0), row, TableEpoch(1)}, 1));
    const RowVersion version = std::get<RowWritten>(first.result).version;
    fixture.caller.runner().runFor(std::chrono::milliseconds(300));
    row.mark = 1;
    run(WriteCellRow{version, row, TableEpoch(1)}, 1);
    fixture.caller.post("/control", {{"restoreAgeMs", 200}});
    // The version matches a row again, but not one that nodes read in the new epoch.
    CHECK(std::holds_alternative<PlatformUnavailable>(std::get<CellRowWriteFinished>(run(WriteCellRow{version, row, TableEpoch(1)}, 2)).result));
    const auto copy = std::get<VersionedCellRow>(std::get<CellRowRead>(run(ReadCellRow{row.service}, 1)).result);
    CHECK(copy.epoch == TableEpoch(1));
    CHECK(copy.version == RowVersion(0));
    CHECK(std::holds_alternative<RowWritten>(std::get<CellRowWriteFinished>(run(WriteCellRow{RowVersion(0), row, TableEpoch(2)}, 1)).result));
    CHECK(std::get<VersionedCellRow>(std::get<CellRowRead>(run(ReadCellRow{row.service}, 1)).result).epoch == TableEpoch(2));
    CHECK(std::get<std::vector<CellRow>>(std::get<CellsRead>(run(ReadCells{}, 1)).result).size() == 1);
}

TEST_CASE("The platform client reads and writes rows and reads documents of the platform stand-in")
{
    Fixture fixture;
    std::vector<EventBody> events;
    PlatformClient client(fixture.loop, fixture.caller.client(), fixture.endpoint, [&](EventBody event) { events.push_back(std::move(event)); });
    const auto next = [&] {
        REQUIRE(fixture.caller.runner().runUntil([&] { return !events.empty(); }));
        EventBody event = std::move(events.front());
        events.clear();
        return event;
    };
    const ServiceName service("advice desk/ä");
    CellRow row;
    row.service = service;
    client.run(WriteCellRow{RowVersion(0), row});
    const RowVersion version = std::get<RowWritten>(std::get<CellRowWriteFinished>(next()).result).version;
    client.run(WriteCellRow{RowVersion(0), row});
    CHECK(std::holds_alternative<WriteConflict>(std::get<CellRowWriteFinished>(next()).result));
    client.run(ReadCellRow{service});
    const auto read = std::get<VersionedCellRow>(std::get<CellRowRead>(next()).result);
    CHECK(read.version == version);
    CHECK(read.row == row);
    client.run(ReadCells{});
    CHECK(std::get<std::vector<CellRow>>(std::get<CellsRead>(next()).result).size() == 1);
    Member member;
    member.node = NodeName("node-1");
    client.run(WriteMemberRow{service, {member}, RowVersion(0)});
    CHECK(std::holds_alternative<RowWritten>(std::get<MemberRowWriteFinished>(next()).result));
    client.run(ReadMemberRows{service});
    const auto rows = std::get<std::vector<VersionedMemberRow>>(std::get<MemberRowsRead>(next()).result);
    REQUIRE(rows.size() == 1);
    CHECK(rows[0].row.member == member);
    client.run(ReadDocument{service, DocumentRevision(0)});
    CHECK(std::holds_alternative<RowAbsent>(std::get<DocumentRead>(next()).result));
    fixture.caller.call("PUT", "/objects/documents/1", {}, "text");
    fixture.write("document/" + service.value(), R"({"revision":1,"object":"documents/1"})");
    client.run(ReadDocument{service, DocumentRevision(0)});
    CHECK(std::get<DocumentCopy>(std::get<DocumentRead>(next()).result) == DocumentCopy{DocumentRevision(1), "text"});
}
