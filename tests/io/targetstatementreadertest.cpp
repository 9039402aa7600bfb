#include "targetstatementreader.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace nutmeghinge;

namespace {

TargetStatement read(const HttpHeaders &headers)
{
    return readTargetStatement(headers, {.limit = "limit", .leaving = "leaving"});
}

} // namespace

TEST_CASE("A limit is read from a plain decimal number")
{
    CHECK(read({{"limit", "3.8"}}).limit == RequestRate(3.8));
    CHECK(read({{"limit", "12"}}).limit == RequestRate(12));
    CHECK(read({{"limit", "0"}}).limit == RequestRate(0));
    CHECK(read({{"limit", "00000000000000000009"}}).limit == RequestRate(9));
    CHECK(read({{"limit", "99999999999999999999"}}).limit == RequestRate(1e9));
    CHECK(read({{"other", "1"}}).isEmpty());
    CHECK(read({}).isEmpty());
}

TEST_CASE("A limit that is no plain decimal number is reported and does not count")
{
    for (const char *text : {"", "-1", "+1", "1e9", "inf", "nan", "0x10", "1,5", ".5", "5.", "1.2.3", " 3", "100000000000000000000000", "3\x01"}) {
        INFO(text);
        const TargetStatement statement = read({{"limit", text}});
        CHECK_FALSE(statement.limit);
        CHECK_FALSE(statement.problem.empty());
    }
}

TEST_CASE("Of a limit given twice the lower one counts, also if the other cannot be read")
{
    CHECK(read({{"limit", "5"}, {"limit", "3"}}).limit == RequestRate(3));
    CHECK(read({{"limit", "x"}, {"limit", "3"}}).limit == RequestRate(3));
}

TEST_CASE("Only the value 1 says that the target leaves")
{
    CHECK(read({{"leaving", "1"}}).leaving);
    CHECK(read({{"leaving", "1"}, {"leaving", "0"}}).leaving);
    for (const char *text : {"0", "", "true", "11", "1 "}) {
        const TargetStatement statement = read({{"leaving", text}});
        CHECK_FALSE(statement.leaving);
        CHECK_FALSE(statement.problem.empty());
    }
}

TEST_CASE("Any bytes in the headers give a finite limit or a short printable problem")
{
    const auto holds = rc::check([] {
        const auto limit = *rc::gen::string<std::string>();
        const auto leaving = *rc::gen::string<std::string>();
        const TargetStatement statement = read({{"limit", limit}, {"leaving", leaving}});
        RC_ASSERT(!statement.limit || (statement.limit->value() >= 0 && statement.limit->value() <= 1e9));
        RC_ASSERT(statement.problem.size() < 100);
        RC_ASSERT(std::all_of(statement.problem.begin(), statement.problem.end(), [](char byte) { return byte >= ' ' && byte <= '~'; }));
    });
    CHECK(holds);
}
