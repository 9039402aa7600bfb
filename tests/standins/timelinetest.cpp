#include "clusterstatus.h"
#include "timelinecollector.h"
#include "timelinepage.h"
#include "timelinetext.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using nlohmann::json;

namespace {

json record(std::uint64_t wall, std::uint64_t counter, const std::string &detail, std::uint64_t shard = 0)
{
    return {{"wall", wall}, {"counter", counter}, {"kind", "ShardGranted"}, {"detail", detail}, {"shard", shard}};
}

std::string answer(const std::string &node, const std::vector<json> &records, std::uint64_t incarnation = 1, std::uint64_t next = 10)
{
    return json{{"node", node}, {"incarnation", incarnation}, {"records", records}, {"next", next}}.dump();
}

std::string detailsOf(const std::vector<TimelineEntry> &entries)
{
    std::string details;
    for (const TimelineEntry &entry : entries) {
        details += entry.detail;
    }
    return details;
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

/** Parses the JSON that a page embeds. */
json marksOf(const std::string &page)
{
    const std::string start = R"(type="application/json">)";
    const std::size_t first = page.find(start) + start.size();
    return json::parse(page.substr(first, page.find("</script>", first) - first));
}

NodeStatus statusOf(const std::string &node, std::uint64_t document, const std::vector<std::uint32_t> &serving)
{
    NodeStatus status;
    status.node = node;
    status.document = document;
    status.shards = 4;
    status.serving = serving;
    return status;
}

} // namespace

TEST_CASE("TimelineCollector merges timelines by wall time, counter and node")
{
    TimelineCollector collector(2, {});
    REQUIRE_FALSE(collector.add(0, answer("b", {record(5, 0, "3"), record(5, 1, "5"), record(9, 0, "6")})));
    REQUIRE_FALSE(collector.add(1, answer("a", {record(4, 7, "1"), record(5, 0, "2"), record(5, 1, "4")})));
    CHECK(detailsOf(collector.takeEntries()) == "123456");
    CHECK(collector.takeEntries().empty());
    CHECK(collector.since(0) == 10);
}

TEST_CASE("TimelineCollector keeps only entries that match its filter")
{
    const auto kept = [](const TimelineFilter &filter) {
        TimelineCollector collector(2, filter);
        json ofRequest = record(3, 0, "c", 2);
        ofRequest["request"] = 77;
        CHECK_FALSE(collector.add(0, answer("a", {record(1, 0, "a", 1), ofRequest})));
        CHECK_FALSE(collector.add(1, answer("b", {record(2, 0, "b", 2), {{"wall", 4}, {"counter", 0}, {"kind", "NodeStarted"}, {"detail", "d"}}})));
        return detailsOf(collector.takeEntries());
    };
    CHECK(kept({}) == "abcd");
    CHECK(kept({2, std::nullopt, std::nullopt}) == "bc");
    CHECK(kept({std::nullopt, 77, std::nullopt}) == "c");
    CHECK(kept({std::nullopt, std::nullopt, "b"}) == "bd");
    CHECK(kept({1, std::nullopt, "b"}).empty());
}

TEST_CASE("The timeline of a restarted node is read from its start")
{
    TimelineCollector collector(1, {});
    REQUIRE_FALSE(collector.add(0, answer("a", {record(1, 0, "x")}, 1, 30)));
    REQUIRE_FALSE(collector.add(0, answer("a", {record(3, 0, "z")}, 2, 40)));
    CHECK(collector.since(0) == 0);
    REQUIRE_FALSE(collector.add(0, answer("a", {record(2, 0, "y"), record(3, 0, "z")}, 2, 40)));
    CHECK(detailsOf(collector.takeEntries()) == "xyz");
}

TEST_CASE("TimelineCollector rejects an invalid timeline and keeps its position")
{
    TimelineCollector collector(1, {});
    for (const std::string &body : {std::string(),
                                    std::string("[]"),
                                    std::string("{}"),
                                    answer("a", std::vector<json>{json::object({{"wall", "x"}})}),
                                    answer("a", std::vector<json>{1})}) {
        CAPTURE(body);
        CHECK(collector.add(0, body).has_value());
    }
    CHECK(collector.since(0) == 0);
    CHECK(collector.takeEntries().empty());
}

TEST_CASE("A timeline line has time, node, kind, ids and detail")
{
    TimelineEntry entry;
    entry.wall = 1796256000007;
    entry.counter = 2;
    entry.node = "a";
    entry.kind = "ShardGranted";
    entry.shard = 7;
    entry.fence = "3.9";
    entry.detail = "one\ntwo";
    CHECK(TimelineText::toLine(entry) == "2026-12-03T00:00:00.007Z 2 a ShardGranted shard 7 fence 3.9: one two");
}

TEST_CASE("The detail of an entry cannot end the script element of the page")
{
    TimelineEntry entry;
    entry.node = "a";
    entry.kind = "BadInput";
    entry.detail = "</script><script>alert(1)</script><!--";
    const std::string page = TimelinePage::toHtml({entry});
    CHECK(countOf(page, "</script>") == countOf(TimelinePage::toHtml({}), "</script>"));
    CHECK(countOf(page, "<!--") == 0);
    const json marks = marksOf(page);
    REQUIRE(marks.size() == 1);
    CHECK(marks[0]["l"].get<std::string>().ends_with(entry.detail));
}

TEST_CASE("A page without entries is complete and self-contained")
{
    const std::string page = TimelinePage::toHtml({});
    CHECK(marksOf(page) == json::array());
    CHECK(page.ends_with("</html>\n"));
    CHECK(page.find("http") == std::string::npos);
}

TEST_CASE("A page with many requests shows counts per second")
{
    TimelineEntry entry;
    entry.node = "a";
    entry.kind = "RequestArrived";
    std::vector<TimelineEntry> entries;
    for (std::uint64_t number = 0; number < 50000; ++number) {
        entry.wall = number / 10;
        entries.push_back(entry);
    }
    const std::string page = TimelinePage::toHtml(entries);
    CHECK(page.size() < 10000);
    const json marks = marksOf(page);
    REQUIRE(marks.size() == 5);
    CHECK(marks[0]["c"] == 10000);
}

TEST_CASE("The status shows differing documents and shards served by no node or by two")
{
    ClusterStatus cluster;
    cluster.addAnswer(statusOf("a", 1, {0, 1}));
    CHECK(cluster.toText().find("document in force: all 1\n") != std::string::npos);
    cluster.addAnswer(statusOf("b", 2, {1}));
    CHECK(cluster.unserved() == std::vector<std::uint32_t>{2, 3});
    CHECK(cluster.servedTwice() == std::vector<std::uint32_t>{1});
    CHECK(cluster.toText().find("differs\n    1: a\n    2: b\nshards served by none: 2-3\nshards served by two or more: 1\n") != std::string::npos);
    CHECK(cluster.allAnswered());
    cluster.addFailure("127.0.0.1:1", "did not answer");
    CHECK_FALSE(cluster.allAnswered());
}

TEST_CASE("parseNodeStatus rejects an invalid status")
{
    for (const std::string body : {"", "[]", "{}", R"({"node":1})"}) {
        CHECK(std::holds_alternative<JsonError>(parseNodeStatus(body)));
    }
}
