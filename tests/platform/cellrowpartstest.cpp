#include "cellrowparts.h"
#include "memberadmission.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;

// Guards against a row that the table refuses because all members of a full cell change at once.
TEST_CASE("The row of a full cell in which all members change fits into parts of the table's size")
{
    constexpr std::size_t partBytes = 65536;
    CellRow row;
    row.change.emplace();
    for (std::uint32_t slot = 100000; row.members.size() < maxCellMembers; ++slot) {
        Member member;
        member.slot = MemberSlot(slot);
        member.node = NodeName("node-of-a-zone-" + std::to_string(slot));
        row.members.push_back(std::move(member));
        row.nonVoting.emplace_back(slot);
        row.change->formerNonVoting.emplace_back(slot);
        row.change->departing.emplace_back(slot);
    }
    const hosted::RowTexts texts = hosted::splitCellRow("cell", row, partBytes);
    for (const auto &[key, text] : texts) {
        CHECK(text.size() <= partBytes);
    }
    const auto joined = hosted::joinCellRow("cell", texts);
    REQUIRE(std::holds_alternative<CellRow>(joined));
    CHECK(std::get<CellRow>(joined) == row);
}
