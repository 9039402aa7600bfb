#include "cellrowgenerator.h"

namespace nutmeghinge {

namespace {

template <typename T>
T any()
{
    return *rc::gen::arbitrary<T>();
}

std::string name()
{
    return *rc::gen::container<std::string>(rc::gen::oneOf(rc::gen::inRange<char>(' ', '~'), rc::gen::just('"')));
}

Endpoint endpoint()
{
    return *rc::gen::element(Endpoint(), Endpoint{"127.0.0.1", 65535}, Endpoint{"10.1.2.3", 1}, Endpoint{"fd00::1", 8080});
}

MemberSlot slot()
{
    return MemberSlot(*rc::gen::inRange<std::uint32_t>(0, 4));
}

Member member()
{
    return {slot(),
            NodeName(name()),
            Incarnation(any<std::uint64_t>()),
            ServiceName(name()),
            TargetName(name()),
            ZoneName(name()),
            RegionName(name()),
            endpoint(),
            endpoint(),
            endpoint(),
            any<std::uint32_t>(),
            any<bool>()};
}

ShardOwnership ownership()
{
    const auto state = static_cast<ShardOwnership::State>(*rc::gen::inRange(0, 3));
    return {state, slot(), slot(), {Term(any<std::uint64_t>()), *rc::gen::inRange<std::uint64_t>(0, 3)}};
}

CellRow cellRow()
{
    CellRow row;
    row.service = ServiceName(name());
    row.revision = CellRevision(any<std::uint64_t>());
    row.nextSlot = MemberSlot(any<std::uint32_t>());
    row.members = *rc::gen::container<std::vector<Member>>(anyMember());
    if (any<bool>()) {
        row.nonVoting = {slot()};
        row.change = MemberChange{{slot()}, {slot(), slot()}};
    }
    row.former = {{slot(), NodeName(name())}};
    row.map.version = {Term(any<std::uint64_t>()), any<std::uint64_t>()};
    row.map.shards = *rc::gen::container<std::vector<ShardOwnership>>(rc::gen::exec(ownership));
    row.map.sections = {{ServiceName(name()), any<std::uint32_t>(), any<std::uint32_t>()}};
    row.map.hotKeys = any<std::vector<std::uint64_t>>();
    row.successors = *rc::gen::container<std::vector<std::vector<MemberSlot>>>(rc::gen::container<std::vector<MemberSlot>>(rc::gen::exec(slot)));
    row.mark = any<std::uint64_t>();
    row.termFloor = Term(any<std::uint64_t>());
    row.document = DocumentRevision(any<std::uint64_t>());
    const auto wallTime = [] { return WallTime(std::chrono::milliseconds(*rc::gen::inRange<std::int64_t>(0, 1'000'000'000'000))); };
    if (any<bool>()) {
        const SuspectedCrash crash{TargetRun(any<std::uint64_t>()), CallerDigest(any<std::uint64_t>()), wallTime(), wallTime()};
        row.suspects = {{RequestDigest(any<std::array<std::uint8_t, 16>>()), wallTime(), {crash}}};
    }
    return row;
}

} // namespace

rc::Gen<Member> anyMember()
{
    return rc::gen::exec(member);
}

rc::Gen<CellRow> anyCellRow()
{
    return rc::gen::exec(cellRow);
}

} // namespace nutmeghinge
