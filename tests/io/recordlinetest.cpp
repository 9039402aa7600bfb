#include "recordline.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace nutmeghinge;

namespace {

template <typename Id, typename Number>
rc::Gen<std::optional<Id>> anyOptional()
{
    return rc::gen::map(rc::gen::pair(rc::gen::arbitrary<bool>(), rc::gen::arbitrary<Number>()),
                        [](const std::pair<bool, Number> &drawn) { return drawn.first ? std::optional(Id(drawn.second)) : std::nullopt; });
}

TimelineRecord anyRecord()
{
    TimelineRecord record;
    record.kind = static_cast<TimelineRecord::Kind>(*rc::gen::inRange(0, static_cast<int>(TimelineRecord::Kind::BadInput) + 1));
    record.time.wall = WallTime(std::chrono::milliseconds(*rc::gen::inRange<std::int64_t>(0, 4000000000000)));
    record.time.counter = *rc::gen::arbitrary<std::uint32_t>();
    record.request = *anyOptional<RequestId, std::uint64_t>();
    record.callerId = *rc::gen::arbitrary<std::string>();
    record.shard = *anyOptional<ShardIndex, std::uint32_t>();
    record.member = *anyOptional<MemberSlot, std::uint32_t>();
    record.document = *anyOptional<DocumentRevision, std::uint64_t>();
    if (*rc::gen::arbitrary<bool>()) {
        record.longestDelay = std::chrono::milliseconds(*rc::gen::inRange<std::int64_t>(0, 4000000000000));
    }
    if (*rc::gen::arbitrary<bool>()) {
        record.fence = Fence{Term(*rc::gen::arbitrary<std::uint64_t>()), *rc::gen::arbitrary<std::uint64_t>()};
    }
    record.detail = *rc::gen::arbitrary<std::string>();
    return record;
}

} // namespace

TEST_CASE("A timeline record survives a round trip through its log line")
{
    CHECK(rc::check([] {
        const TimelineRecord record = anyRecord();
        const std::optional<TimelineRecord> read = recordFromLine(recordToLine(record));
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->kind == record.kind);
        RC_ASSERT(read->time == record.time);
        RC_ASSERT(read->request == record.request);
        RC_ASSERT(read->callerId == record.callerId);
        RC_ASSERT(read->shard == record.shard);
        RC_ASSERT(read->member == record.member);
        RC_ASSERT(read->document == record.document);
        RC_ASSERT(read->longestDelay == record.longestDelay);
        RC_ASSERT(read->fence == record.fence);
        RC_ASSERT(read->detail == record.detail);
    }));
}

TEST_CASE("The log line of a timeline record contains kind, ids and detail")
{
    TimelineRecord record;
    record.kind = TimelineRecord::Kind::RequestRefused;
    record.request = RequestId(30);
    record.callerId = "a b";
    record.shard = ShardIndex(1012);
    record.time = {WallTime(std::chrono::milliseconds(1700)), 2};
    record.detail = "no node may serve the key now";
    CHECK(recordToLine(record) == "RequestRefused request=30 id=a%20b shard=1012 at=1700.2 no node may serve the key now");
}

TEST_CASE("Other log lines are not read as timeline records")
{
    for (const char *line : {"",
                             "listening for callers on 127.0.0.1:80",
                             "RequestRefused",
                             "RequestRefused request=x at=1.2",
                             "RequestRefused at=1",
                             "Frob at=1.2",
                             "RequestRefused colour=1 at=1.2",
                             "RequestRefused request=1"}) {
        INFO(line);
        CHECK_FALSE(recordFromLine(line));
    }
}
