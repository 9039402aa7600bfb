#include "cell.h"
#include "effectlist.h"
#include "fakeactivity.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace std::chrono_literals;

namespace {

const ServiceName service("advice-desk");
constexpr Duration tickInterval = 50ms;

/** A node that starts in the third epoch of a table in which only a row of the second one is left. */
class StartAfterRestoration
{
public:
    StartAfterRestoration()
        : m_cell(identity(), Timings(), m_activity)
    {
        TargetAnnounced announced;
        announced.service = service;
        announced.target = TargetName("advice-4");
        announced.endpoint = Endpoint{"10.0.0.2", 1};
        announced.slots = 20;
        announced.targetIncarnation = 1;
        apply(&Cell::tableEpochChanged, TableEpochChanged{TableEpoch(3)});
        for (const Effect &effect : apply(&Cell::targetAnnounced, announced)) {
            answer(effect, CellRow());
        }
    }

    /** Returns the first row of the cell that the node writes within the time; empty if it writes none. */
    std::optional<CellRow> firstWrite(const CellRow &left, Duration limit)
    {
        for (Duration time{0}; time < limit; time += tickInterval) {
            m_now += tickInterval;
            for (const Effect &effect : apply(&Cell::tick, Tick{})) {
                if (const auto *write = std::get_if<WriteCellRow>(&effect)) {
                    return write->row;
                }
                answer(effect, left);
            }
        }
        return std::nullopt;
    }

private:
    static NodeIdentity identity()
    {
        NodeIdentity result;
        result.node = NodeName("node-4");
        result.incarnation = Incarnation(7);
        result.controlEndpoint = Endpoint{"10.0.0.1", 4};
        result.startedAt = MonotonicTime(100s);
        return result;
    }

    template <typename Result>
    Effects apply(Result (Cell::*handler)(const Event &, EffectList &), EventBody body)
    {
        EffectList effects{HybridTime{}};
        (m_cell.*handler)(Event{m_now, WallTime(1s), std::move(body)}, effects);
        return effects.take();
    }

    void answer(const Effect &effect, const CellRow &left)
    {
        if (std::holds_alternative<ReadCellRow>(effect)) {
            apply(&Cell::cellRowRead, CellRowRead{service, VersionedCellRow{left, RowVersion(0), TableEpoch(2)}});
        } else if (std::holds_alternative<ReadMemberRows>(effect)) {
            apply(&Cell::memberRowsRead, MemberRowsRead{service, std::vector<VersionedMemberRow>()});
        } else if (std::holds_alternative<WriteMemberRow>(effect)) {
            apply(&Cell::memberRowWriteFinished, MemberRowWriteFinished{RowWritten{RowVersion(1)}});
        } else if (std::holds_alternative<ReadDocument>(effect)) {
            const std::string text = "service: advice-desk\nkeys: {header: x-key, shards: 8}\nleases: {holdLimit: 10s}\n";
            apply(&Cell::documentRead, DocumentRead{service, DocumentCopy{DocumentRevision(1), text}, RowVersion()});
        }
    }

    FakeActivity m_activity;
    MonotonicTime m_now{100s};
    Cell m_cell;
};

} // namespace

TEST_CASE("A node that takes over a cell after a restoration gets no slot that a member had whose row was lost")
{
    CellRow left;
    left.service = service;
    left.revision = CellRevision(3);
    left.nextSlot = MemberSlot(2);
    left.mark = 9;
    Member member;
    member.slot = MemberSlot(1);
    member.node = NodeName("node-1");
    left.members.push_back(member);

    StartAfterRestoration node;
    const std::optional<CellRow> written = node.firstWrite(left, 60s);
    REQUIRE(written);
    REQUIRE(written->members.size() == 1);
    // After the copy, the lost rows may have given slots from 2 on to other nodes.
    CHECK(written->members.front().slot > MemberSlot(200));
    CHECK(written->nextSlot > written->members.front().slot);
    CHECK(written->revision > CellRevision(500));
}
