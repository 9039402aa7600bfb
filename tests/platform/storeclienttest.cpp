#include "storeclient.h"
#include "base64.h"
#include "cellrowcodec.h"
#include "eventloop.h"
#include "httpclient.h"
#include "rununtil.h"
#include "scriptedserver.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace nutmeghinge;
using namespace nutmeghinge::hosted;
using nlohmann::json;

namespace {

/** A StoreClient connected to a server whose answers the test sets. */
struct Setup {
    Setup()
        : server(loop)
        , client(loop, 4)
        , store(loop, client, server.endpoint(), [this](EventBody event) { events.push_back(std::move(event)); })
    {
    }

    void answerWith(std::uint16_t status, const std::string &body)
    {
        server.setScript([status, body](const HttpRequest &) { return ScriptedAnswer{status, body}; });
    }
    template <typename Event, typename Effect>
    Event run(const Effect &effect)
    {
        events.clear();
        store.run(effect);
        REQUIRE(runUntil(loop, [&] { return !events.empty(); }));
        return std::get<Event>(events.front());
    }

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

const FollowDocument follow{ServiceName("all"), RowVersion(40), std::chrono::milliseconds(10)};

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
    const FollowDocument follow{ServiceName("desk"), RowVersion(40), std::chrono::milliseconds(10)};
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
    const json body = json::parse(setup.server.requests().front().body);
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
    CHECK(std::get<std::vector<Member>>(setup.run<MemberRowsRead>(ReadMemberRows{ServiceName("all")}).result).empty());
}
