#include "storeclient.h"
#include "base64.h"
#include "cellrowcodec.h"
#include "eventloop.h"
#include "httpclient.h"
#include "membercodec.h"
#include "rununtil.h"
#include "scriptedserver.h"
#include "tcprelay.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace nutmeghinge;
using namespace nutmeghinge::hosted;
using nlohmann::json;

namespace {

constexpr std::size_t rowBytes = 65536;

/** A StoreClient connected to a server whose answers the test sets. */
struct Setup {
    Setup()
        : server(loop)
        , client(loop, 4)
        , store(loop, client, server.endpoint(), rowBytes, [this](EventBody event) { events.push_back(std::move(event)); })
    {
    }

    void answerWith(std::uint16_t status, const std::string &body)
    {
        server.setScript([status, body](const HttpRequest &) { return ScriptedAnswer{status, body}; });
    }
    /** Sets the answer to all calls; it states how often the tables were restored. */
    void answerWith(std::uint16_t status, const std::string &body, const std::string &restorations)
    {
        server.setScript([=](const HttpRequest &) { return ScriptedAnswer{status, body, false, {{"store-era", restorations}}}; });
    }
    template <typename Event, typename Effect>
    Event run(const Effect &effect)
    {
        events.clear();
        store.run(effect);
        REQUIRE(runUntil(loop, [&] { return !events.empty() && std::holds_alternative<Event>(events.back()); }));
        return std::get<Event>(events.back());
    }
    /** Returns the epoch that the last call reported as new; 0 if none. */
    std::uint64_t reportedEpoch() const
    {
        const auto *changed = std::get_if<TableEpochChanged>(&events.front());
        return changed ? changed->epoch.value() : 0;
    }
    json lastBody() const { return json::parse(server.requests().back().body.text()); }

    EventLoop loop;
    ScriptedServer server;
    HttpClient client;
    std::vector<EventBody> events;
    StoreClient store;
};

std::string rowsJson(const std::string &table, const std::string &key, const std::string &value, std::uint64_t ver)
{
    return json{
        {"rows", {{{"table", table}, {"part", ""}, {"key", key}, {"value", toBase64(value)}, {"ver", 12}}}}, {"has_more", false}, {"ver", ver}, {"now", 5}}
        .dump();
}

CellRow someCell()
{
    CellRow row;
    row.service = ServiceName("all");
    row.revision = CellRevision(3);
    return row;
}

/** A cell of the given number of members, whose shards all have different owners and fences. */
CellRow largeCell(std::uint32_t members)
{
    CellRow row = someCell();
    for (std::uint32_t slot = 1; slot <= members; ++slot) {
        Member member;
        member.node = NodeName("sidecar-zone-central-a-" + std::to_string(slot));
        member.slot = MemberSlot(slot);
        member.service = ServiceName("advice-desk");
        member.zone = ZoneName("zone-central-a");
        member.region = RegionName("zone-central");
        member.controlEndpoint = Endpoint{"10.128.100.100", 12345};
        member.peerEndpoint = member.controlEndpoint;
        member.operationsEndpoint = member.controlEndpoint;
        row.members.push_back(member);
    }
    for (std::uint32_t slot = 1; slot <= members; ++slot) {
        row.former.emplace_back(members + slot, "sidecar-zone-central-b-" + std::to_string(slot));
    }
    row.map.version = {Term(6553600), 5000};
    row.map.sections = {{ServiceName("advice-desk"), 0, 2048}};
    for (std::uint32_t shard = 0; shard < 2048; ++shard) {
        row.map.shards.push_back({ShardOwnership::State::Releasing, MemberSlot(shard % members + 1), MemberSlot(1), {Term(6553600), shard}});
    }
    return row;
}

/** Returns the answer to a read of the rows that the transaction writes. */
std::string rowsWrittenBy(const json &transaction, std::uint64_t version)
{
    json rows = transaction["writes"];
    for (json &row : rows) {
        row["ver"] = version;
    }
    return json{{"rows", rows}, {"has_more", false}, {"ver", version}, {"now", 5}}.dump();
}

const FollowDocument follow{ServiceName("all"), RowVersion(40), std::chrono::milliseconds(10), std::chrono::milliseconds(1500)};

} // namespace

TEST_CASE("fromBase64 decodes what toBase64 encodes, and rejects invalid text")
{
    for (const std::string bytes : {"", "a", "ab", "abc", "abcd", "\xff\x01\x02"}) {
        CHECK(fromBase64(toBase64(bytes)) == bytes);
    }
    CHECK_FALSE(fromBase64("abc"));
    CHECK_FALSE(fromBase64("a$c="));
}

TEST_CASE("ReadDocument returns the document, its revision and the version of the table")
{
    Setup setup;
    setup.answerWith(200, rowsJson("op", "config", R"({"version":7})", 530));
    const auto read = setup.run<DocumentRead>(ReadDocument{ServiceName("all"), DocumentRevision(0)});
    CHECK(std::get<DocumentCopy>(read.result) == DocumentCopy{DocumentRevision(7), R"({"version":7})"});
    CHECK(read.tableVersion == RowVersion(530));
    CHECK(setup.server.requests().front().path == "/v1/rows-get?table=op&part=&from=config&limit=1");
}

TEST_CASE("FollowDocument reports a change, no change, lost history or a failure")
{
    Setup setup;
    setup.answerWith(200, rowsJson("op", "config", R"({"version":9})", 533));
    const auto changed = setup.run<DocumentFollowed>(follow);
    CHECK(std::get<DocumentCopy>(changed.result).revision == DocumentRevision(9));
    CHECK(changed.tableVersion == RowVersion(533));
    CHECK(setup.server.requests().front().path == "/v1/rows-feed?table=op&after=40&wait_ms=10");
    setup.answerWith(200, R"({"rows":[],"ver":534,"now":1})");
    CHECK(std::holds_alternative<RowAbsent>(setup.run<DocumentFollowed>(follow).result));
    setup.answerWith(410, "{}");
    CHECK(std::holds_alternative<HistoryLost>(setup.run<DocumentFollowed>(follow).result));
    for (const std::uint16_t status : {503, 429}) {
        setup.answerWith(status, "{}");
        CHECK(std::holds_alternative<PlatformUnavailable>(setup.run<DocumentFollowed>(follow).result));
    }
    setup.answerWith(200, "no json");
    CHECK(std::holds_alternative<PlatformUnavailable>(setup.run<DocumentFollowed>(follow).result));
}

TEST_CASE("FollowDocument applies the last of several changes of the document in one answer")
{
    Setup setup;
    const FollowDocument follow{ServiceName("desk"), RowVersion(40), std::chrono::milliseconds(10), std::chrono::milliseconds(1500)};
    const auto row = [](int revision, bool removed) {
        const std::string value = toBase64(R"({"version":)" + std::to_string(revision) + "}");
        json row = {{"table", "op"}, {"part", ""}, {"key", "config"}, {"value", value}, {"ver", 500 + revision}};
        if (removed) {
            row["removed"] = true;
        }
        return row;
    };
    const auto answer = [](json rows) { return json({{"rows", std::move(rows)}, {"ver", 510}, {"now", 1}}).dump(); };
    setup.answerWith(200, answer({row(6, false), row(8, false)}));
    CHECK(std::get<DocumentCopy>(setup.run<DocumentFollowed>(follow).result).revision == DocumentRevision(8));
    setup.answerWith(200, answer({row(6, false), row(8, true)}));
    CHECK(std::holds_alternative<RowAbsent>(setup.run<DocumentFollowed>(follow).result));
    setup.answerWith(200, answer({row(6, true), row(8, false)}));
    CHECK(std::get<DocumentCopy>(setup.run<DocumentFollowed>(follow).result).revision == DocumentRevision(8));
}

TEST_CASE("WriteCellRow sends the expected version, and reports conflicts and failures")
{
    Setup setup;
    setup.answerWith(200, R"({"ver":412,"now":1})");
    const auto written = setup.run<CellRowWriteFinished>(WriteCellRow{RowVersion(17), someCell()});
    CHECK(std::get<RowWritten>(written.result).version == RowVersion(412));
    const json body = json::parse(setup.server.requests().front().body.text());
    CHECK(body["expect"] == json({{{"table", "cells"}, {"part", ""}, {"key", "all"}, {"ver", 17}}}));
    CHECK(std::get<CellRow>(CellRowCodec::fromText(*fromBase64(body["writes"][0]["value"].get<std::string>()))) == someCell());
    setup.answerWith(412, "{}");
    CHECK(std::holds_alternative<WriteConflict>(setup.run<CellRowWriteFinished>(WriteCellRow{RowVersion(17), someCell()}).result));
    setup.answerWith(503, "{}");
    CHECK(std::holds_alternative<PlatformUnavailable>(setup.run<CellRowWriteFinished>(WriteCellRow{RowVersion(17), someCell()}).result));
}

TEST_CASE("ReadCellRow returns the row and distinguishes an absent row from an invalid one")
{
    Setup setup;
    setup.answerWith(200, rowsJson("cells", "all", CellRowCodec::toText(someCell()), 530));
    const auto read = setup.run<CellRowRead>(ReadCellRow{ServiceName("all")});
    CHECK(std::get<VersionedCellRow>(read.result).row == someCell());
    CHECK(std::get<VersionedCellRow>(read.result).version == RowVersion(12));
    setup.answerWith(200, R"({"rows":[],"ver":1,"now":1})");
    CHECK(std::holds_alternative<RowAbsent>(setup.run<CellRowRead>(ReadCellRow{ServiceName("all")}).result));
    setup.answerWith(200, rowsJson("cells", "all", "broken", 530));
    CHECK(std::holds_alternative<PlatformUnavailable>(setup.run<CellRowRead>(ReadCellRow{ServiceName("all")}).result));
}

TEST_CASE("ReadMemberRows skips invalid member rows")
{
    Setup setup;
    setup.answerWith(200, rowsJson("members", "n-1", "broken", 530));
    CHECK(std::get<std::vector<VersionedMemberRow>>(setup.run<MemberRowsRead>(ReadMemberRows{ServiceName("all")}).result).empty());
}

TEST_CASE("WriteMemberRow states the expected version, and a conflict reports the row as the store has it")
{
    Setup setup;
    const std::string node = "n-1";
    MemberRow row;
    row.member.node = NodeName(node);
    setup.answerWith(200, R"({"ver":531,"now":1})");
    const auto written = setup.run<MemberRowWriteFinished>(WriteMemberRow{ServiceName("all"), row, RowVersion(12)});
    CHECK(std::get<RowWritten>(written.result).version == RowVersion(531));
    CHECK(setup.lastBody().at("expect") == json::parse(R"([{"table":"members","part":"","key":"n-1","ver":12}])"));

    setup.answerWith(412, rowsJson("members", node, MemberCodec::rowToText(row), 532));
    const auto conflict = setup.run<MemberRowWriteFinished>(WriteMemberRow{ServiceName("all"), row, RowVersion(531)});
    const auto &present = std::get<MemberRowConflict>(conflict.result).present;
    REQUIRE(present);
    CHECK(present->row == row);
    CHECK(present->version == RowVersion(12));
    setup.answerWith(412, R"({"rows":[],"ver":533,"now":1})");
    CHECK_FALSE(std::get<MemberRowConflict>(setup.run<MemberRowWriteFinished>(WriteMemberRow{ServiceName("all"), row, RowVersion(531)}).result).present);
    setup.answerWith(412, "broken");
    CHECK(std::holds_alternative<PlatformUnavailable>(setup.run<MemberRowWriteFinished>(WriteMemberRow{ServiceName("all"), row, RowVersion(531)}).result));
}

TEST_CASE("An answer that states one more restoration of the tables is reported as a new epoch before its result")
{
    Setup setup;
    const ReadDocument read{ServiceName("all"), DocumentRevision(0)};
    setup.answerWith(200, rowsJson("op", "config", R"({"version":7})", 530), "4");
    CHECK(std::holds_alternative<DocumentCopy>(setup.run<DocumentRead>(read).result));
    CHECK(setup.reportedEpoch() == 5);
    setup.run<DocumentRead>(read);
    CHECK(setup.reportedEpoch() == 0);
    setup.answerWith(503, "{}", "5");
    setup.run<DocumentRead>(read);
    CHECK(setup.reportedEpoch() == 6);
}

TEST_CASE("A feed that continues from a version of an earlier epoch counts as lost history")
{
    Setup setup;
    setup.answerWith(200, rowsJson("op", "config", R"({"version":7})", 530), "1");
    setup.run<DocumentRead>(ReadDocument{ServiceName("all"), DocumentRevision(0)});
    setup.answerWith(200, rowsJson("op", "config", R"({"version":9})", 41), "2");
    CHECK(std::holds_alternative<HistoryLost>(setup.run<DocumentFollowed>(follow).result));
    CHECK(setup.reportedEpoch() == 3);
}

TEST_CASE("A new call for the document replaces the outstanding one, whose result is dropped")
{
    Setup setup;
    setup.server.setScript([](const HttpRequest &request) {
        return request.path.find("feed") != std::string::npos ? ScriptedAnswer{200, "{}", true}
                                                              : ScriptedAnswer{200, rowsJson("op", "config", R"({"version":7})", 530)};
    });
    setup.store.run(follow);
    REQUIRE(runUntil(setup.loop, [&] { return !setup.server.requests().empty(); }));
    setup.run<DocumentRead>(ReadDocument{ServiceName("all"), DocumentRevision(0)});
    CHECK(setup.events.size() == 1);
}

TEST_CASE("Answers with an invalid number of restorations, or fewer than known, are refused and change nothing")
{
    Setup setup;
    const ReadDocument read{ServiceName("all"), DocumentRevision(0)};
    const std::string rows = rowsJson("op", "config", R"({"version":7})", 530);
    setup.answerWith(200, rows, "4");
    setup.run<DocumentRead>(read);
    for (const std::string restorations : {"3", "0", "-1", "many", "", "5000", "99999999999999999999"}) {
        INFO(restorations);
        setup.answerWith(200, rows, restorations);
        CHECK(std::holds_alternative<PlatformUnavailable>(setup.run<DocumentRead>(read).result));
        CHECK(setup.reportedEpoch() == 0);
    }
    setup.answerWith(200, rows);
    CHECK(std::holds_alternative<PlatformUnavailable>(setup.run<DocumentRead>(read).result));
    setup.answerWith(200, rows, "4");
    CHECK(std::holds_alternative<DocumentCopy>(setup.run<DocumentRead>(read).result));
}

TEST_CASE("After a restoration, a write with a version of the earlier epoch cannot match a row of the new one")
{
    Setup setup;
    setup.answerWith(200, R"({"ver":57,"now":1})", "1");
    const auto first = setup.run<CellRowWriteFinished>(WriteCellRow{RowVersion(0), someCell(), TableEpoch(2)});
    CHECK(std::get<RowWritten>(first.result).version == RowVersion(57));
    const std::string firstKey = setup.lastBody()["writes"][0]["key"];
    setup.answerWith(200, R"({"ver":58,"now":1})", "2");
    CHECK(std::holds_alternative<PlatformUnavailable>(setup.run<CellRowWriteFinished>(WriteCellRow{RowVersion(57), someCell(), TableEpoch(2)}).result));
    CHECK(setup.lastBody()["writes"][0]["key"] == firstKey);
    CHECK(setup.reportedEpoch() == 3);
    setup.run<CellRowWriteFinished>(WriteCellRow{RowVersion(0), someCell(), TableEpoch(3)});
    CHECK(setup.lastBody()["writes"][0]["key"] != firstKey);
}

TEST_CASE("A cell row of an earlier epoch is read as one to write anew, and removed by the first write")
{
    Setup setup;
    setup.answerWith(200, rowsJson("cells", "all@0000000002", CellRowCodec::toText(someCell()), 530), "2");
    const auto read = setup.run<CellRowRead>(ReadCellRow{ServiceName("all")});
    const auto &row = std::get<VersionedCellRow>(read.result);
    CHECK(row.row == someCell());
    CHECK(row.version == RowVersion(0));
    CHECK(row.epoch == TableEpoch(2));
    setup.answerWith(200, R"({"ver":531,"now":1})", "2");
    setup.run<CellRowWriteFinished>(WriteCellRow{RowVersion(0), someCell(), TableEpoch(3)});
    const json old = {{"table", "cells"}, {"part", ""}, {"key", "all@0000000002"}};
    json condition = old;
    condition["ver"] = 12;
    CHECK(setup.lastBody()["remove"] == json::array({old}));
    CHECK(setup.lastBody()["expect"].size() == 2);
    CHECK(setup.lastBody()["expect"][1] == condition);
}

TEST_CASE("A call for the document in place of a silent one uses none of the connections that were open, which may be silent too")
{
    EventLoop loop;
    ScriptedServer server(loop);
    server.setScript([](const HttpRequest &request) {
        return ScriptedAnswer{200, rowsJson("op", "config", R"({"version":9})", 533), request.path.find("wait_ms=8000") != std::string::npos};
    });
    TcpRelay relay(loop, server.endpoint());
    HttpClient client(loop, 4);
    std::vector<EventBody> events;
    StoreClient store(loop, client, relay.endpoint(), rowBytes, [&](EventBody event) { events.push_back(std::move(event)); });
    store.run(FollowDocument{ServiceName("all"), RowVersion(40), std::chrono::seconds(8), std::chrono::seconds(9)});
    store.run(ReadMemberRows{ServiceName("all")});
    REQUIRE(runUntil(loop, [&] { return events.size() == 1 && server.requests().size() == 2; }));
    relay.stallCurrent();
    store.run(FollowDocument{ServiceName("all"), RowVersion(40), Duration(0), std::chrono::milliseconds(1500)});
    REQUIRE(runUntil(loop, [&] { return events.size() == 2; }));
    const auto &followed = std::get<DocumentFollowed>(events.back());
    REQUIRE(std::holds_alternative<DocumentCopy>(followed.result));
    CHECK(std::get<DocumentCopy>(followed.result).revision == DocumentRevision(9));
}

TEST_CASE("A cell row of 300 members whose shards lie all apart stays within the limits of the store")
{
    Setup setup;
    const CellRow row = largeCell(300);
    setup.answerWith(200, R"({"ver":412,"now":1})");
    setup.run<CellRowWriteFinished>(WriteCellRow{RowVersion(0), row});
    const json body = setup.lastBody();
    CHECK(setup.server.requests().back().body.size() <= 1'000'000);
    CHECK(body["writes"].size() > 1);
    for (const json &write : body["writes"]) {
        CHECK(write["value"].get<std::string>().size() <= rowBytes);
    }
    CHECK(setup.store.largestRowBytes() <= rowBytes);
    setup.answerWith(200, rowsWrittenBy(body, 412));
    const auto read = setup.run<CellRowRead>(ReadCellRow{ServiceName("all")});
    CHECK(std::get<VersionedCellRow>(read.result).row == row);
    CHECK(std::get<VersionedCellRow>(read.result).version == RowVersion(412));
}

TEST_CASE("Only the parts of a cell row that changed are written again, and parts that are no longer needed are removed")
{
    Setup setup;
    CellRow row = largeCell(300);
    setup.answerWith(200, R"({"ver":412,"now":1})");
    setup.run<CellRowWriteFinished>(WriteCellRow{RowVersion(0), row});
    ++row.mark;
    setup.answerWith(200, R"({"ver":413,"now":1})");
    setup.run<CellRowWriteFinished>(WriteCellRow{RowVersion(412), row});
    CHECK(setup.lastBody()["writes"].size() == 1);
    // A version that this node has not seen written may have other parts.
    setup.run<CellRowWriteFinished>(WriteCellRow{RowVersion(500), row});
    CHECK(setup.lastBody()["writes"].size() > 1);
    const std::size_t parts = setup.lastBody()["writes"].size() - 1;
    setup.run<CellRowWriteFinished>(WriteCellRow{RowVersion(413), someCell()});
    CHECK(setup.lastBody()["writes"].size() == 1);
    CHECK(setup.lastBody()["remove"].size() == parts);
}

TEST_CASE("A cell row that lacks a part is not used")
{
    Setup setup;
    setup.answerWith(200, R"({"ver":412,"now":1})");
    setup.run<CellRowWriteFinished>(WriteCellRow{RowVersion(0), largeCell(300)});
    json body = setup.lastBody();
    body["writes"].erase(body["writes"].size() - 1);
    setup.answerWith(200, rowsWrittenBy(body, 412));
    CHECK(std::holds_alternative<PlatformUnavailable>(setup.run<CellRowRead>(ReadCellRow{ServiceName("all")}).result));
}

TEST_CASE("A write that the store can never accept is not reported as an unavailable store")
{
    Setup setup;
    for (const std::uint16_t status : {400, 413}) {
        setup.answerWith(status, "{}");
        CHECK(std::holds_alternative<RowRefused>(setup.run<CellRowWriteFinished>(WriteCellRow{RowVersion(17), someCell()}).result));
    }
    const std::size_t calls = setup.server.requests().size();
    setup.events.clear();
    setup.store.run(WriteCellRow{RowVersion(17), largeCell(4000)});
    REQUIRE(setup.events.size() == 1);
    CHECK(std::holds_alternative<RowRefused>(std::get<CellRowWriteFinished>(setup.events.back()).result));
    CHECK(setup.server.requests().size() == calls);
}
