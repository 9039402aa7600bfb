#include "memberadmission.h"
#include "cellrow.h"
#include "peermessages.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;

namespace {

Member makeMember(std::uint32_t slot, const std::string &zone, std::uint32_t linkMegabits)
{
    Member member;
    member.slot = MemberSlot(slot);
    member.zone = ZoneName(zone);
    member.linkMegabits = linkMegabits;
    return member;
}

std::vector<std::uint32_t> slotsOf(const std::vector<Member> &members)
{
    std::vector<std::uint32_t> slots;
    slots.reserve(members.size());
    for (const Member &member : members) {
        slots.push_back(member.slot.value());
    }
    return slots;
}

} // namespace

TEST_CASE("VMs with a large network link are the first candidates for coordinator, and zones alternate")
{
    const std::vector<Member> members{
        makeMember(1, "a", 10), makeMember(2, "a", 200), makeMember(3, "a", 200), makeMember(4, "b", 10), makeMember(5, "b", 100), makeMember(6, "c", 10)};
    CHECK(slotsOf(orderCandidates(members)) == std::vector<std::uint32_t>{2, 5, 3, 1, 4, 6});
}

TEST_CASE("If no VM states its network link, candidates alternate between zones in the order given")
{
    const std::vector<Member> members{makeMember(1, "a", 0), makeMember(2, "a", 0), makeMember(3, "b", 0), makeMember(4, "c", 0)};
    CHECK(slotsOf(orderCandidates(members)) == std::vector<std::uint32_t>{1, 3, 4, 2});
}

TEST_CASE("A full cell tells how many nodes it does not admit")
{
    MemberAdmission admission;
    CellRow row;
    for (std::uint32_t slot = 1; slot < maxCellMembers; ++slot) {
        row.members.push_back(makeMember(slot, "a", 0));
    }
    Member first = makeMember(0, "a", 0);
    first.node = NodeName("first");
    Member second = makeMember(0, "a", 0);
    second.node = NodeName("second");
    admission.recordJoinRequest({first.node, first.incarnation}, MonotonicTime());
    admission.recordJoinRequest({second.node, second.incarnation}, MonotonicTime());
    admission.setAnnounced({first, second});
    CHECK(admission.nodesWithoutRoom(row, MonotonicTime()) == 0);
    const auto mayNotRemove = [](MemberSlot) { return false; };
    const std::optional<CellRow> full = admission.nextChange(row, mayNotRemove, mayNotRemove, MonotonicTime());
    REQUIRE(full);
    CHECK(admission.nodesWithoutRoom(*full, MonotonicTime()) == 1);
    CHECK_FALSE(admission.nextChange(*full, mayNotRemove, mayNotRemove, MonotonicTime()));
}
