#include "cellrowcodec.h"
#include "cellrowgenerator.h"
#include "membercodec.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;

TEST_CASE("A cell row survives a round trip through its text")
{
    const bool held = rc::check([] {
        const CellRow row = *anyCellRow();
        const auto result = CellRowCodec::fromText(CellRowCodec::toText(row));
        RC_ASSERT(std::holds_alternative<CellRow>(result));
        RC_ASSERT(std::get<CellRow>(result) == row);
    });
    CHECK(held);
}

TEST_CASE("A member row survives a round trip through its text")
{
    const bool held = rc::check([] {
        MemberRow row{*anyMember()};
        for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
            row.departed.push_back({TargetName("i-" + std::to_string(i)), *rc::gen::arbitrary<std::uint64_t>()});
        }
        const auto result = MemberCodec::rowFromText(MemberCodec::rowToText(row));
        RC_ASSERT(std::holds_alternative<MemberRow>(result));
        RC_ASSERT(std::get<MemberRow>(result) == row);
    });
    CHECK(held);
}

TEST_CASE("A corrupted cell row is either read as a consistent row or rejected")
{
    const bool held = rc::check([] {
        std::string text = CellRowCodec::toText(*anyCellRow());
        const auto changes = *rc::gen::inRange(1, 10);
        for (int i = 0; i < changes; ++i) {
            text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::oneOf(rc::gen::arbitrary<char>(), rc::gen::element('-', '9', '[', '}'));
        }
        const auto result = CellRowCodec::fromText(text);
        if (const auto *row = std::get_if<CellRow>(&result)) {
            const auto again = CellRowCodec::fromText(CellRowCodec::toText(*row));
            RC_ASSERT(std::holds_alternative<CellRow>(again));
            RC_ASSERT(std::get<CellRow>(again) == *row);
        }
    });
    CHECK(held);
}

TEST_CASE("A cell row with a field that is missing, of the wrong type or out of range is rejected")
{
    CellRow row;
    row.service = ServiceName("roster");
    row.map.shards.push_back({ShardOwnership::State::Owned, MemberSlot(1), noMember, {Term(1), 1}});
    const auto good = nlohmann::json::parse(CellRowCodec::toText(row));
    for (const auto &[path, value] : std::vector<std::pair<std::string, nlohmann::json>>{{"/service", 1},
                                                                                         {"/revision", -1},
                                                                                         {"/nextSlot", 4294967296},
                                                                                         {"/mark", 1.5},
                                                                                         {"/members", nullptr},
                                                                                         {"/map", "none"},
                                                                                         {"/map/shards", {1}},
                                                                                         {"/map/shards", {-1}},
                                                                                         {"/map/ownerships/0/0", 3},
                                                                                         {"/map/ownerships/0", {1, 2}},
                                                                                         {"/map/hotKeys", {"a"}},
                                                                                         {"/successors", {0}}}) {
        nlohmann::json changed = good;
        changed[nlohmann::json::json_pointer(path)] = value;
        INFO(path << " " << value);
        CHECK(std::holds_alternative<JsonError>(CellRowCodec::fromText(changed.dump())));
    }
    CHECK(std::holds_alternative<JsonError>(CellRowCodec::fromText("")));
    CHECK(std::holds_alternative<JsonError>(CellRowCodec::fromText("[]")));
}

TEST_CASE("A cell row with 256 shards and 7 members is encoded in less than 2 KiB")
{
    CellRow row;
    for (std::uint32_t i = 0; i < 256; ++i) {
        const MemberSlot owner(i % 7 + 1);
        row.map.shards.push_back({ShardOwnership::State::Owned, owner, noMember, {Term(12), i % 7 + 100}});
        row.successors.push_back({MemberSlot(owner.value() % 7 + 1), MemberSlot((owner.value() + 1) % 7 + 1)});
    }
    CHECK(CellRowCodec::toText(row).size() < 2048);
}
