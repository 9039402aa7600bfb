#include "documentparser.h"

#include "examplefile.h"
#include "timetext.h"
#include "yamlerrors.h"
#include "yamlreader.h"

#include <catch2/catch.hpp>
#include <ostream>
#include <rapidcheck/catch.h>

namespace nutmeghinge {

std::ostream &operator<<(std::ostream &stream, const DocumentError &error)
{
    return stream << error.line << ' ' << error.field << ": " << error.reason;
}

} // namespace nutmeghinge

using namespace nutmeghinge;

namespace {

std::vector<DocumentError> errorsOf(const std::string &text)
{
    const ParsedDocument parsed = parseDocument(text);
    const auto *errors = std::get_if<std::vector<DocumentError>>(&parsed);
    return errors ? *errors : std::vector<DocumentError>();
}

struct InvalidText {
    std::string text;
    DocumentError error;
};

const std::vector<InvalidText> invalidTexts{
    {"", {0, "", "the text is empty"}},
    {"service: a\nhosts: [\x04]\n", {2, "", "holds a control character or what is no UTF-8"}},
    {std::string("service: a\n\0", 12), {2, "", "holds a control character or what is no UTF-8"}},
    {"service: \xc3(\n", {1, "", "holds a control character or what is no UTF-8"}},
    {"\xfe\xff", {1, "", "holds a control character or what is no UTF-8"}},
    {"# nothing\n", {0, "", "the text is empty"}},
    {",", {1, "", "the text holds more than one YAML document"}},
    {"service: a\n...\n,\n", {3, "", "the text holds more than one YAML document"}},
    {"- a\n", {1, "", "must be a mapping of fields"}},
    {"service: a\n---\nservice: b\n", {2, "", "the text holds more than one YAML document"}},
    {"hosts: [a]\n", {1, "service", "is missing"}},
    {"service:\n", {1, "service", "must be text"}},
    {"service: [a]\n", {1, "service", "must be text"}},
    {"service: a/b\n", {1, "service", "must be made of letters, digits, '.', '_' and '-' and not begin with '.'"}},
    {"service: a\nservice: b\n", {2, "service", "is given more than once"}},
    {"service: a\nserivce: b\n", {2, "serivce", "is not a known field"}},
    {"service: a\n? [x]\n: b\n", {2, "", "names of fields must be text"}},
    {"service: a\nhosts: b\n", {2, "hosts", "must be a list with at least one text"}},
    {"service: a\nhosts: []\n", {2, "hosts", "must be a list with at least one text"}},
    {"service: a\nhosts:\n  - b\n  - Upper\n", {4, "hosts[1]", "must be a host name or IP number in lower case"}},
    {"service: a\nhosts:\n  - b\n  - b\n", {4, "hosts[1]", "is given more than once"}},
    {"service: a\ntargets: [b]\n", {2, "targets", "must be a mapping of fields"}},
    {"service: a\ntargets:\n  allow:\n    - b\n    - [c]\n", {5, "targets.allow[1]", "must be text"}},
    {"service: a\ntargets:\n  allow: ['a*b*c*d']\n", {3, "targets.allow[0]", "must not hold more than 2 '*'"}},
    {"service: a\ntargets:\n  alow: [b]\n", {3, "targets.alow", "is not a known field"}},
    {"service: a\ntargets:\n  checkFence: yes\n", {3, "targets.checkFence", "must be true or false, not \"yes\""}},
    {"service: a\ntargets:\n  executionLimit: 2\n", {3, "targets.executionLimit", "must be a duration such as 250ms, 2s, 10m or 1h"}},
    {"service: a\ntargets:\n  executionLimit: 2h\n", {3, "targets.executionLimit", "must be from 1ms to 1h"}},
    {"service: a\ntargets:\n  slowStart: 9999999999s\n", {3, "targets.slowStart", "must be a duration such as 250ms, 2s, 10m or 1h"}},
    {"service: a\nkeys:\n  shards: 8\n", {2, "keys.header", "is missing"}},
    {"service: a\nkeys:\n  header: X-Key\n", {3, "keys.header", "must be the name of an HTTP header in lower case"}},
    {"service: a\nkeys:\n  header: nutmeghinge-shard\n", {3, "keys.header", "must not be in the system's own namespace"}},
    {"service: a\nkeys:\n  header: x\n  shards: 0\n", {4, "keys.shards", "must be from 1 to 4096"}},
    {"service: a\nkeys:\n  header: x\n  shards: '8'\n", {4, "keys.shards", "must be a whole number"}},
    {"service: a\nkeys:\n  header: x\n  hot: -1\n", {4, "keys.hot", "must be from 0 to 1024"}},
    {"service: a\nkeys:\n  header: x\n  hot: 1.5\n", {4, "keys.hot", "must be a whole number"}},
    {"service: a\nkeys:\n  header: x\n  hot: 99999999999999999999\n", {4, "keys.hot", "must be a whole number"}},
    {"service: a\nshrink: b\n", {2, "shrink", "must be a list"}},
    {"service: a\nshrink:\n  - b\n", {3, "shrink[0]", "must be a mapping of fields"}},
    {"service: a\nshrink:\n  - leave: [b]\n", {3, "shrink[0].at", "is missing"}},
    {"service: a\nshrink:\n  - at: 2027-01-31T18:00:00Z\n", {3, "shrink[0].leave", "is missing"}},
    {"service: a\nshrink:\n  - at: 2027-02-30T18:00:00Z\n    leave: [b]\n", {3, "shrink[0].at", "must be a UTC time such as 2027-01-31T18:00:00Z"}},
    {"service: a\nshrink:\n  - {at: 2027-01-31T18:00:00Z, leave: [b]}\n  - {at: 2027-01-31T18:00:00Z, leave: [c]}\n",
     {4, "shrink[1].at", "must be later than the step before, 2027-01-31T18:00:00Z"}},
    {"service: a\nstop:\n  at: soon\n", {3, "stop.at", "must be a UTC time such as 2027-01-31T18:00:00Z"}},
    {"service: a\nshrink:\n  - {at: 2027-01-31T18:00:00Z, leave: [b]}\nstop: {at: 2027-01-01T00:00:00Z}\n",
     {4, "stop.at", "must be later than the last step of shrink, 2027-01-31T18:00:00Z"}},
    {"service: a\nbalance:\n  objective: churn\n", {3, "balance.objective", "must be imbalance or unavailable-time, not \"churn\""}},
    {"service: a\nbalance:\n  targetRatio: 1\n", {3, "balance.targetRatio", "must be from 1.01 to 10"}},
    {"service: a\nbalance:\n  targetRatio: nan\n", {3, "balance.targetRatio", "must be from 1.01 to 10"}},
    {"service: a\nbalance:\n  targetRatio: wide\n", {3, "balance.targetRatio", "must be a number"}},
    {"service: a\nlimits:\n  retryPercent: 101\n", {3, "limits.retryPercent", "must be from 0 to 100"}},
    {"service: a\nlimits:\n  retryRatio: -0.1\n", {3, "limits.retryRatio", "must be from 0 to 10"}},
    {"service: a\nlimits:\n  retryRatio: many\n", {3, "limits.retryRatio", "must be a number"}},
    {"service: a\nlimits:\n  retryWindow: 0s\n", {3, "limits.retryWindow", "must be from 100ms to 1h"}},
    {"service: a\nleases:\n  holdLimit: 721h\n", {3, "leases.holdLimit", "must be from 1s to 720h"}},
};

} // namespace

TEST_CASE("Each document error is reported with its line and field and reason")
{
    for (const InvalidText &invalid : invalidTexts) {
        INFO(invalid.text);
        CHECK(errorsOf(invalid.text) == std::vector<DocumentError>{invalid.error});
    }
}

TEST_CASE("All errors of a document are reported together in line order")
{
    const std::vector<DocumentError> errors = errorsOf("limits:\n  queue: many\nservice: a b\nkey: {}\ntargets: {slowStart: 1d}\n");
    REQUIRE(errors.size() == 4);
    CHECK(errors[0].field == "limits.queue");
    CHECK(errors[1].field == "service");
    CHECK(errors[2].field == "key");
    CHECK(errors[3].field == "targets.slowStart");
}

TEST_CASE("Invalid YAML syntax is reported with its line")
{
    const std::vector<DocumentError> errors = errorsOf("service: a\nhosts: [b\ntargets: c\n");
    REQUIRE(errors.size() == 1);
    CHECK(errors[0].line >= 2);
    CHECK(errors[0].reason.starts_with("not YAML: "));
}

TEST_CASE("Omitted optional fields have default values")
{
    Document expected;
    expected.service = ServiceName("roster");
    CHECK(parseDocument("service: roster\n") == ParsedDocument(expected));
}

TEST_CASE("Every field of a document is read")
{
    const ParsedDocument parsed = parseDocument(exampleText("advice-desk.yaml"));
    REQUIRE(std::holds_alternative<Document>(parsed));
    const auto &document = std::get<Document>(parsed);
    Document expected;
    expected.service = ServiceName("advice-desk");
    expected.hosts = {"advice.kaosiam.example"};
    expected.allowedTargets = {"advice-*"};
    expected.targetsCheckFence = true;
    expected.executionLimit = std::chrono::seconds(2);
    expected.slowStart = std::chrono::seconds(10);
    expected.keyHeader = "x-customer";
    expected.shards = 256;
    expected.hotKeys = 16;
    expected.shrink = {{*parseWallTime("2027-01-31T18:00:00Z"), {"advice-5", "advice-6"}}, {*parseWallTime("2027-03-31T18:00:00Z"), {"advice-3", "advice-4"}}};
    expected.stop = parseWallTime("2027-06-30T18:00:00Z");
    expected.objective = Document::Objective::Imbalance;
    expected.targetRatio = 1.2;
    expected.movesPerMinute = 120;
    expected.queue = 128;
    expected.deadline = std::chrono::seconds(5);
    expected.retryPercent = 10;
    expected.requestBodyLimit = 1048576;
    expected.deduplicationWindow = std::chrono::minutes(10);
    expected.deduplicationEntries = 10000;
    expected.holdLimit = std::chrono::hours(1);
    CHECK(document == expected);
}

TEST_CASE("The example documents are valid")
{
    for (const char *name : {"advice-desk.yaml", "doc-library.yaml", "roster.yaml", "docs.yaml"}) {
        INFO(name);
        const std::string text = exampleText(name);
        REQUIRE(!text.empty());
        CHECK(errorsOf(text) == std::vector<DocumentError>());
    }
}

TEST_CASE("Oversized and malformed texts are rejected")
{
    const std::size_t size = YamlReader::maximumBytes;
    CHECK(errorsOf(std::string(size + 1, 'a')).front().reason == "the text is larger than 256 KiB");
    for (const char *part : {"[", "{", "- ", "? ", "a: {", "[{", "!", "&a ", "*a ", "'", "\"", "|\n", "%", "---\n", "\t", "#"}) {
        std::string text;
        while (text.size() + 8 < size) {
            text += part;
        }
        INFO(part);
        CHECK(std::holds_alternative<std::vector<DocumentError>>(parseDocument(text)));
    }
}

TEST_CASE("Recursive and exponentially expanding aliases are rejected")
{
    std::string bomb = "a0: &a0 [x, x, x, x, x, x, x, x, x]\n";
    for (int i = 1; i < 30; ++i) {
        const std::string before = "*a" + std::to_string(i - 1);
        bomb += "a" + std::to_string(i) + ": &a" + std::to_string(i) + " [" + before;
        for (int j = 0; j < 8; ++j) {
            bomb.append(", ").append(before);
        }
        bomb += "]\n";
    }
    CHECK(errorsOf(bomb + "service: a\nhosts: *a29\n").size() > 30);
    CHECK(!errorsOf("service: a\nhosts: &a [*a]\n").empty());
    CHECK(!errorsOf("service: a\ntargets: &a {allow: *a}\n").empty());
}

TEST_CASE("The number of reported errors is limited")
{
    std::string text = "service: a\n";
    for (int i = 0; i < 1000; ++i) {
        text.append("field").append(std::to_string(i)).append(": 1\n");
    }
    const std::vector<DocumentError> errors = errorsOf(text);
    CHECK(errors.size() == YamlErrors::maximumErrors + 1);
    CHECK(errors.back().reason == "further faults are left out");
}

TEST_CASE("Random texts and randomly changed documents do not crash the parser")
{
    rc::prop("any text", [](const std::string &text) { parseDocument(text); });

    rc::prop("a valid document with some bytes changed", [] {
        std::string text = exampleText("advice-desk.yaml");
        const auto changes = *rc::gen::inRange(1, 8);
        for (int i = 0; i < changes; ++i) {
            const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
            text[at] = *rc::gen::oneOf(rc::gen::element('{', '[', ':', '-', '\n', ' ', '&', '*', '!', '?', '"', '|'), rc::gen::arbitrary<char>());
        }
        parseDocument(text);
    });
}

TEST_CASE("Durations and wall times are parsed and formatted consistently")
{
    CHECK(parseDuration("250ms") == std::chrono::milliseconds(250));
    CHECK(parseDuration("1h") == std::chrono::hours(1));
    for (const char *text : {"", "s", "1", "1 s", "-1s", "1.5s", "1d", "1234567890s"}) {
        INFO(text);
        CHECK(!parseDuration(text));
    }
    for (const char *text : {"",
                             "2027-01-31",
                             "2027-01-31T18:00:00",
                             "2027-01-31T18:00:00+07:00",
                             "2027-1-31T18:00:00Z",
                             "2027-13-01T00:00:00Z",
                             "2027-01-31T24:00:00Z",
                             "2027-01-31T18:00:00ZZ",
                             "1969-12-31T00:00:00Z"}) {
        INFO(text);
        CHECK(!parseWallTime(text));
    }
    rc::prop("parseDuration() reads the text that durationText() writes", [] {
        const Duration duration(*rc::gen::inRange<std::int64_t>(0, 900000000));
        RC_ASSERT(parseDuration(durationText(duration)) == duration);
    });
    rc::prop("parseWallTime() reads the text that wallTimeText() writes", [] {
        const WallTime time(std::chrono::milliseconds(*rc::gen::inRange<std::int64_t>(0, 253402300799999)));
        RC_ASSERT(parseWallTime(wallTimeText(time)) == time);
    });
}
