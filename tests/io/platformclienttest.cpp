#include "platformclient.h"
#include "cellrowcodec.h"
#include "httpclient.h"
#include "looprunner.h"
#include "membercodec.h"
#include "scriptedserver.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace nutmeghinge;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

const ServiceName roster{"roster"};

/** A platform client that talks to a scripted platform. */
class Fixture
{
public:
    Fixture() { answerWith(500, ""); }

    void answerWith(std::uint16_t status, const std::string &body)
    {
        server.setScript([=](const HttpRequest &) { return ScriptedAnswer{status, body}; });
    }

    /** Runs the effect and returns the resulting event. */
    template <typename EventType, typename Effect>
    EventType run(const Effect &effect)
    {
        events.clear();
        platform.run(effect);
        REQUIRE(runner.runUntil([&] { return !events.empty(); }));
        runner.runFor(5ms);
        REQUIRE(events.size() == 1);
        return std::get<EventType>(events.front());
    }

    const HttpRequest &lastRequest() const { return server.requests().back(); }

    EventLoop loop;
    LoopRunner runner{loop};
    HttpClient client{loop, 2};
    ScriptedServer server{loop};
    std::vector<EventBody> events;
    PlatformClient platform{loop, client, server.endpoint(), [this](EventBody event) { events.push_back(std::move(event)); }};
};

CellRow someCell(const ServiceName &service = roster)
{
    CellRow row;
    row.service = service;
    row.revision = CellRevision(4);
    row.members.push_back(
        {MemberSlot(1), NodeName("n1"), Incarnation(2), roster, TargetName("t1"), ZoneName("z1"), RegionName("texas"), {}, {}, {}, 10, false});
    return row;
}

json rowJson(const std::string &key, std::uint64_t version, const std::string &value)
{
    return {{"key", key}, {"version", version}, {"value", value}};
}

template <typename Result>
bool isUnavailable(const Result &result)
{
    return std::holds_alternative<PlatformUnavailable>(result);
}

} // namespace

TEST_CASE("A cell row is read with its version")
{
    Fixture fixture;
    fixture.answerWith(200, rowJson("cell/roster", 17, CellRowCodec::toText(someCell())).dump());
    const auto event = fixture.run<CellRowRead>(ReadCellRow{roster});
    CHECK(event.service == roster);
    const auto &row = std::get<VersionedCellRow>(event.result);
    CHECK(row.version == RowVersion(17));
    CHECK(row.row == someCell());
    CHECK(fixture.lastRequest().method == "GET");
    CHECK(fixture.lastRequest().path == "/table/rows/cell/roster");
}

TEST_CASE("Reading a cell row distinguishes an absent row from an unavailable platform")
{
    Fixture fixture;
    fixture.answerWith(404, "");
    CHECK(std::holds_alternative<RowAbsent>(fixture.run<CellRowRead>(ReadCellRow{roster}).result));
    for (const auto &[status, body] : std::vector<std::pair<std::uint16_t, std::string>>{{500, ""},
                                                                                         {503, "{}"},
                                                                                         {201, "{}"},
                                                                                         {200, "no json"},
                                                                                         {200, "{}"},
                                                                                         {200, rowJson("cell/roster", 1, "no json").dump()},
                                                                                         {200, R"({"key":"a","version":-1,"value":"{}"})"}}) {
        INFO(status << " " << body);
        fixture.answerWith(status, body);
        CHECK(isUnavailable(fixture.run<CellRowRead>(ReadCellRow{roster}).result));
    }
}

TEST_CASE("Writing a cell row states the expected version as a condition and reports a conflict")
{
    Fixture fixture;
    fixture.answerWith(200, R"({"versions":{"cell/roster":18}})");
    const auto event = fixture.run<CellRowWriteFinished>(WriteCellRow{RowVersion(17), someCell()});
    CHECK(std::get<RowWritten>(event.result).version == RowVersion(18));
    CHECK(fixture.lastRequest().method == "POST");
    CHECK(fixture.lastRequest().path == "/table/transact");
    const json body = json::parse(fixture.lastRequest().body.text());
    CHECK(body.at("conditions") == json::parse(R"([{"key":"cell/roster","version":17}])"));
    CHECK(body.at("writes").size() == 1);
    CHECK(std::get<CellRow>(CellRowCodec::fromText(body.at("writes").at(0).at("value").get<std::string>())) == someCell());

    fixture.answerWith(409, R"({"conflicts":[{"key":"cell/roster","version":19}]})");
    CHECK(std::holds_alternative<WriteConflict>(fixture.run<CellRowWriteFinished>(WriteCellRow{RowVersion(17), someCell()}).result));
    fixture.answerWith(200, R"({"versions":{}})");
    CHECK(isUnavailable(fixture.run<CellRowWriteFinished>(WriteCellRow{RowVersion(17), someCell()}).result));
}

TEST_CASE("Invalid member rows are skipped when read, and member rows are written if they have the expected version")
{
    Fixture fixture;
    const Member member = someCell().members.front();
    const json rows = {rowJson("member/roster/n0", 1, "broken"), rowJson("member/roster/n1", 2, MemberCodec::rowToText({member}))};
    fixture.answerWith(200, json{{"rows", rows}}.dump());
    const auto read = fixture.run<MemberRowsRead>(ReadMemberRows{roster});
    const auto &valid = std::get<std::vector<VersionedMemberRow>>(read.result);
    REQUIRE(valid.size() == 1);
    CHECK(valid[0].row.member == member);
    CHECK(valid[0].version == RowVersion(2));
    CHECK(fixture.lastRequest().path == "/table/rows?prefix=member/roster/");
    fixture.answerWith(200, R"({"rows":[{}]})");
    CHECK(isUnavailable(fixture.run<MemberRowsRead>(ReadMemberRows{roster}).result));

    fixture.answerWith(200, R"({"versions":{"member/roster/n1":3}})");
    const auto written = fixture.run<MemberRowWriteFinished>(WriteMemberRow{roster, {member}, RowVersion(2)});
    CHECK(std::get<RowWritten>(written.result).version == RowVersion(3));
    const std::string key = "member/roster/" + member.node.value();
    CHECK(json::parse(fixture.lastRequest().body.text()).at("conditions") == json{{{"key", key}, {"version", 2}}});
    fixture.server.setScript([&](const HttpRequest &request) {
        const bool isWrite = request.method == "POST";
        return isWrite ? ScriptedAnswer{409, "{}"} : ScriptedAnswer{200, rowJson(key, 7, MemberCodec::rowToText({member})).dump()};
    });
    const auto conflict = fixture.run<MemberRowWriteFinished>(WriteMemberRow{roster, {member}, RowVersion(2)});
    const auto &present = std::get<MemberRowConflict>(conflict.result).present;
    REQUIRE(present);
    CHECK(present->row.member == member);
    CHECK(present->version == RowVersion(7));
}

TEST_CASE("The cells of all services are read")
{
    Fixture fixture;
    const CellRow other = someCell(ServiceName("docs"));
    const json rows = {rowJson("cell/docs", 1, CellRowCodec::toText(other)), rowJson("cell/roster", 2, CellRowCodec::toText(someCell()))};
    fixture.answerWith(200, json{{"rows", rows}}.dump());
    CHECK(std::get<std::vector<CellRow>>(fixture.run<CellsRead>(ReadCells()).result) == std::vector<CellRow>{other, someCell()});
    CHECK(fixture.lastRequest().path == "/table/rows?prefix=cell/");
    fixture.answerWith(503, "");
    CHECK(isUnavailable(fixture.run<CellsRead>(ReadCells()).result));
}

TEST_CASE("The text of a document is only read if its revision is newer")
{
    Fixture fixture;
    const std::string pointer = R"({"revision":5,"object":"documents/roster/5 a","editor":"ann","at":"2026-12-03T20:00:00Z"})";
    std::uint16_t objectStatus = 200;
    fixture.server.setScript([&](const HttpRequest &request) {
        const bool isRow = request.path == "/table/rows/document/roster";
        return isRow ? ScriptedAnswer{200, rowJson("document/roster", 9, pointer).dump()} : ScriptedAnswer{objectStatus, "service: roster\n"};
    });
    const auto newer = fixture.run<DocumentRead>(ReadDocument{roster, DocumentRevision(4)});
    CHECK(std::get<DocumentCopy>(newer.result) == DocumentCopy{DocumentRevision(5), "service: roster\n"});
    CHECK(fixture.lastRequest().path == "/objects/documents/roster/5%20a");
    const std::size_t requests = fixture.server.requests().size();
    const auto known = fixture.run<DocumentRead>(ReadDocument{roster, DocumentRevision(5)});
    CHECK(std::get<DocumentCopy>(known.result) == DocumentCopy{DocumentRevision(5), ""});
    CHECK(fixture.server.requests().size() == requests + 1);
    objectStatus = 404;
    CHECK(isUnavailable(fixture.run<DocumentRead>(ReadDocument{roster, DocumentRevision(4)}).result));
    fixture.answerWith(404, "");
    CHECK(std::holds_alternative<RowAbsent>(fixture.run<DocumentRead>(ReadDocument{roster, DocumentRevision(4)}).result));
}

TEST_CASE("A platform that does not answer counts as unavailable after two seconds")
{
    Fixture fixture;
    fixture.server.setScript([](const HttpRequest &) { return ScriptedAnswer{0, "", true}; });
    const MonotonicTime start = fixture.loop.now();
    CHECK(isUnavailable(fixture.run<CellsRead>(ReadCells()).result));
    CHECK(fixture.loop.now() - start >= 2s);
    CHECK(fixture.loop.now() - start < 3s);
}

TEST_CASE("An answer that arrives after the platform client was destroyed is ignored")
{
    Fixture fixture;
    fixture.answerWith(404, "");
    std::size_t events = 0;
    {
        PlatformClient ended(fixture.loop, fixture.client, fixture.server.endpoint(), [&](const EventBody &) { ++events; });
        ended.run(ReadCellRow{roster});
    }
    CHECK(fixture.runner.runUntil([&] { return !fixture.server.requests().empty(); }));
    fixture.runner.runFor(20ms);
    CHECK(events == 0);
}
