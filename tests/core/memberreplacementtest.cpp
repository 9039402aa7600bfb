#include "cellrow.h"
#include "memberadmission.h"
#include "memberlist.h"
#include "peermessages.h"
#include "pseudorandom.h"
#include "targetleaseharness.h"

#include <catch2/catch.hpp>
#include <map>

using namespace nutmeghinge;
using namespace std::chrono_literals;

namespace {

/** Time within which a node that has started is a member; a new target may expect requests then. */
constexpr Duration joinLimit = 5s;
/** Longest time without a coordinator: a vote, the staggered start of the candidates, and one election that fails. */
constexpr Duration termGapLimit = 3s;
/** Time after a stop request at which a VM is ended. */
constexpr Duration stopLimit = 6s;

/** Replaces the VMs of a cell one after the other, and measures how well the list of members keeps up. */
class ReplacementPlay
{
public:
    ReplacementPlay(std::size_t nodes, std::uint64_t seed)
        : m_harness(nodes, seed, 0, timings())
    {
    }

    bool begin() { return m_harness.runUntilAllHeld(30s).has_value(); }
    TargetLeaseHarness &harness() { return m_harness; }

    /** Replaces the given share of the VMs each second. */
    void replaceVms(double sharePerSecond, Duration length)
    {
        const auto interval = std::chrono::duration_cast<Duration>(1s / (sharePerSecond * static_cast<double>(m_harness.size())));
        for (Duration at{0}; at < length; at += interval) {
            m_harness.callLater(at, [this] { stopOne(); });
        }
        run(length);
    }

    void run(Duration length)
    {
        for (Duration at{0}; at < length; at += step) {
            m_harness.run(step);
            observe();
        }
    }

    Duration longestJoin() const { return m_longestJoin; }
    Duration longestTermGap() const { return m_longestTermGap; }
    bool hadTwoCoordinators() const { return m_twoCoordinators; }

private:
    static constexpr Duration step = 50ms;

    static Timings timings()
    {
        Timings timings = Timings::forHeartbeatsOf(TargetLeaseHarness::heartbeat);
        timings.stopLimit = stopLimit;
        return timings;
    }

    void stopOne()
    {
        const std::size_t node = m_harness.random(m_harness.size());
        if (!m_harness.isUp(node) || !m_harness.isMember(node) || !m_stopping.try_emplace(node, m_harness.now()).second) {
            return;
        }
        m_harness.drainTarget(node);
        m_harness.stopNode(node);
        // Some end as soon as they have nothing left to do, others are ended.
        const Duration life = m_harness.random(2) == 0 ? stopLimit : 1s + std::chrono::milliseconds(m_harness.random(4000));
        m_harness.callLater(life, [this, node] {
            m_stopping.erase(node);
            m_harness.replaceVm(node);
            m_startedAt[node] = m_harness.now();
        });
    }

    void observe()
    {
        for (auto started = m_startedAt.begin(); started != m_startedAt.end();) {
            m_longestJoin = std::max(m_longestJoin, m_harness.now() - started->second);
            started = m_harness.isMember(started->first) ? m_startedAt.erase(started) : std::next(started);
        }
        const std::size_t coordinators = m_harness.coordinators();
        m_twoCoordinators = m_twoCoordinators || coordinators > 1;
        m_coordinatorSeenAt = coordinators > 0 ? m_harness.now() : m_coordinatorSeenAt.value_or(m_harness.now());
        m_longestTermGap = std::max(m_longestTermGap, m_harness.now() - *m_coordinatorSeenAt);
    }

    TargetLeaseHarness m_harness;
    /** Nodes that were told to stop. */
    std::map<std::size_t, Duration> m_stopping;
    /** Nodes that are not members yet. */
    std::map<std::size_t, Duration> m_startedAt;
    std::optional<Duration> m_coordinatorSeenAt;
    Duration m_longestJoin{0};
    Duration m_longestTermGap{0};
    bool m_twoCoordinators = false;
};

Member announcedNode(std::uint32_t number)
{
    Member member;
    member.node = NodeName("node" + std::to_string(number));
    member.incarnation = Incarnation(1);
    return member;
}

long long milliseconds(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

// Guards against a list of members that falls behind the VMs, until those that live are no majority of it (review/4).
TEST_CASE("Members keep up with the replacement of one VM in six each second")
{
    const auto nodes = GENERATE(12U, 62U, 195U);
    for (std::uint64_t seed = 1; seed <= (nodes == 12 ? 6 : nodes == 62 ? 2 : 1); ++seed) {
        ReplacementPlay play(nodes, seed);
        REQUIRE(play.begin());
        play.run(2s);
        play.replaceVms(1.0 / 6, nodes == 195 ? 15s : 30s);
        play.run(stopLimit + joinLimit);
        INFO("nodes " << nodes << ", seed " << seed << ", longest join " << milliseconds(play.longestJoin()) << " ms, longest time without a coordinator "
                      << milliseconds(play.longestTermGap()) << " ms");
        CHECK(play.harness().violation() == "");
        CHECK_FALSE(play.hadTwoCoordinators());
        CHECK(play.longestJoin() <= joinLimit);
        CHECK(play.longestTermGap() <= termGapLimit);
    }
}

TEST_CASE("No two nodes act as coordinator, and no key has two owners, while VMs are replaced under faults")
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        ReplacementPlay play(12, seed);
        TargetLeaseHarness &harness = play.harness();
        REQUIRE(play.begin());
        for (int fault = 0; fault < 8; ++fault) {
            const std::size_t node = harness.random(harness.size());
            switch (harness.random(6)) {
            case 0:
                harness.setIsolated(node, true);
                break;
            case 1:
                harness.setCutFromPlatform(node, true);
                break;
            case 2:
                harness.pauseNode(node, std::chrono::milliseconds(200 + harness.random(4000)));
                break;
            case 3:
                harness.setPlatformDelay(std::chrono::milliseconds(2 + harness.random(400)));
                break;
            case 4:
                harness.lossPerMille = static_cast<unsigned>(harness.random(200));
                break;
            default:
                harness.restorePlatform(std::chrono::milliseconds(100 + harness.random(4000)));
            }
            play.replaceVms(1.0 / 4, std::chrono::milliseconds(500 + harness.random(2500)));
            harness.healAll();
            harness.setPlatformDelay(TargetLeaseHarness::normalPlatformDelay);
        }
        INFO("seed " << seed);
        CHECK(harness.violation() == "");
        CHECK_FALSE(play.hadTwoCoordinators());
    }
}

// Guards against two coordinators with majorities of lists that differ in more than one member.
TEST_CASE("Majorities of a cell's members before and after each change overlap")
{
    PseudoRandom random(58);
    for (int play = 0; play < 200; ++play) {
        MemberAdmission admission;
        std::vector<Member> announced;
        std::uint32_t lastNode = 0;
        const auto announceSome = [&](std::uint64_t most) {
            for (std::uint64_t count = random.below(most + 1); count > 0; --count) {
                announced.push_back(announcedNode(++lastNode));
                admission.recordJoinRequest({announced.back().node, announced.back().incarnation}, MonotonicTime());
            }
            for (Member &member : announced) {
                member.leaving = member.leaving != (random.below(8) == 0);
            }
            admission.setAnnounced(announced);
        };
        CellRow row;
        row.members.push_back(announcedNode(0));
        row.members.back().slot = MemberSlot(1);
        row.nextSlot = MemberSlot(2);
        announceSome(30);
        for (int change = 0; change < 12; ++change) {
            const std::uint64_t removedOfTen = random.below(10);
            const auto mayRemove = [&](MemberSlot slot) { return slot != row.members.front().slot && random.below(10) < removedOfTen; };
            const std::optional<CellRow> next = admission.nextChange(
                row, mayRemove, [](MemberSlot) { return true; }, MonotonicTime());
            if (!next) {
                announceSome(40);
                continue;
            }
            MemberList before;
            before.assign(row);
            MemberList after;
            after.assign(*next);
            admission.recordRemovedMembers(before, *next);
            for (int attempt = 0; attempt < 50; ++attempt) {
                // Prefers members of one list, so that majorities of lists with few members in common are found.
                std::map<MemberSlot, bool> side;
                const std::uint64_t bias = random.below(11);
                const auto isOfFirst = [&](MemberSlot slot) {
                    const bool stays = before.isVoting(slot) && after.isVoting(slot);
                    const auto [entry, isNew] = side.try_emplace(slot, false);
                    entry->second = isNew ? random.below(10) < (stays ? 5 : before.isVoting(slot) ? bias : 10 - bias) : entry->second;
                    return entry->second;
                };
                const bool first = before.isMajority(isOfFirst, MonotonicTime());
                const bool second = after.isMajority([&](MemberSlot slot) { return !isOfFirst(slot); }, MonotonicTime());
                REQUIRE_FALSE((first && second));
            }
            row = *next;
            announceSome(20);
        }
    }
}

TEST_CASE("Nodes that join all at once leave the members that vote a majority, also if none of them ever votes")
{
    MemberAdmission admission;
    std::vector<Member> announced;
    for (std::uint32_t number = 1; number <= 100; ++number) {
        announced.push_back(announcedNode(number));
        admission.recordJoinRequest({announced.back().node, announced.back().incarnation}, MonotonicTime());
    }
    admission.setAnnounced(announced);
    CellRow row;
    for (std::uint32_t slot = 1; slot <= 20; ++slot) {
        row.members.push_back(announcedNode(1000 + slot));
        row.members.back().slot = MemberSlot(slot);
    }
    row.nextSlot = MemberSlot(21);
    const auto votes = [](MemberSlot slot) { return slot.value() <= 18; };
    const std::optional<CellRow> next = admission.nextChange(
        row, [](MemberSlot slot) { return slot == MemberSlot(20); }, votes, MonotonicTime());
    REQUIRE(next);
    MemberList members;
    members.assign(*next);
    CHECK(members.isChanging());
    CHECK(next->members.size() == 36);
    CHECK(members.isMajority(votes, MonotonicTime()));
    const std::optional<CellRow> ended = admission.nextChange(
        *next, [](MemberSlot) { return false; }, votes, MonotonicTime());
    REQUIRE(ended);
    CHECK_FALSE(ended->change);
    CHECK(ended->members.size() == 35);
}

TEST_CASE("A member that announces that it leaves has no vote, unless too few others vote, and has one again if it stays")
{
    MemberAdmission admission;
    CellRow row;
    for (std::uint32_t slot = 1; slot <= 12; ++slot) {
        row.members.push_back(announcedNode(slot));
        row.members.back().slot = MemberSlot(slot);
    }
    const auto mayNotRemove = [](MemberSlot) { return false; };
    const auto announceLeaving = [&](std::uint32_t count) {
        std::vector<Member> announced;
        for (std::uint32_t number = 1; number <= 12; ++number) {
            announced.push_back(announcedNode(number));
            announced.back().leaving = number <= count;
        }
        admission.setAnnounced(announced);
    };
    const auto change = [&](const MemberAdmission::Predicate &votes) {
        for (int rows = 0; rows < 3; ++rows) {
            row = admission.nextChange(row, mayNotRemove, votes, MonotonicTime()).value_or(row);
        }
        MemberList members;
        members.assign(row);
        return members;
    };
    const auto all = [](MemberSlot) { return true; };
    announceLeaving(9);
    CHECK(change(all).voterCount() == 3);
    CHECK(change(all).isMajority([](MemberSlot slot) { return slot.value() >= 11; }, MonotonicTime()));
    announceLeaving(4);
    CHECK(change(all).voterCount() == 8);
    // Those that stay, but do not vote yet, would leave no majority.
    announceLeaving(8);
    CHECK(change([](MemberSlot slot) { return slot.value() <= 10; }).voterCount() == 8);
    announceLeaving(11);
    CHECK(change(all).voterCount() == 8);
}

// Guards against a cell that waits for the hold limit because members that ended as planned still count for its majority (review/4).
TEST_CASE("A cell elects a coordinator soon after more than half of its members have left and the coordinator is lost")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        TargetLeaseHarness harness(12, seed);
        REQUIRE(harness.runUntilAllHeld(30s));
        harness.run(2s);
        const std::optional<std::size_t> lost = harness.coordinator();
        REQUIRE(lost);
        std::vector<std::size_t> leaving;
        for (std::size_t node = 0; node < harness.size() && leaving.size() < 7; ++node) {
            if (node != *lost) {
                leaving.push_back(node);
                harness.drainTarget(node);
                harness.stopNode(node);
            }
        }
        harness.run(1500ms);
        leaving.push_back(*lost);
        for (const std::size_t node : leaving) {
            harness.killNode(node);
            harness.killTarget(node);
        }
        harness.run(termGapLimit);
        INFO("seed " << seed);
        CHECK(harness.coordinator().has_value());
        CHECK(harness.violation() == "");
    }
}
