#pragma once

#include "ids.h"
#include "member.h"
#include "units.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace nutmeghinge {

struct CellRow;

/**
 * Members of this node's cell according to the latest cell row, and which of
 * them are known to have ended. Counts majorities of the members that vote: while
 * several of them change, of those before the change and of those after it.
 */
class MemberList
{
public:
    using Predicate = std::function<bool(MemberSlot)>;

    /** Replaces the members by those of the row. Members known to have ended stay marked as ended. */
    void assign(const CellRow &row);
    const std::vector<Member> &members() const { return m_members; }
    CellRevision revision() const { return m_revision; }
    /** Returns the member with the slot, or null. */
    const Member *find(MemberSlot slot) const;
    /** Returns the member that is this incarnation of the node, or null. */
    const Member *find(const NodeName &node, Incarnation incarnation) const;
    /** Returns the number of members before this one in the order of candidates, not counting ended members. */
    std::size_t candidatePosition(MemberSlot slot) const;

    /**
     * Marks members as ended whose node has announced a newer incarnation. They
     * no longer count for majorities from the given time on.
     */
    void recordAnnouncements(const std::vector<Member> &announced, MonotonicTime excludeAt);
    /** Returns whether the member is known to have ended. */
    bool hasEnded(MemberSlot slot) const { return m_ended.contains(slot); }
    /** Returns whether the change of members in progress removes the member. */
    bool isDeparting(MemberSlot slot) const { return m_departing.contains(slot); }
    /** Returns whether the member's vote counts, or will once the change in progress has ended. */
    bool isVoting(MemberSlot slot) const { return find(slot) && !m_nonVoting.contains(slot); }
    /** Returns whether a change of several voters is in progress. */
    bool isChanging() const { return m_formerNonVoting.has_value(); }
    /** Returns the number of members that have ended. */
    std::size_t endedCount() const { return m_ended.size(); }
    /** Returns the number of members whose votes count. */
    std::size_t voterCount() const { return m_members.size() - m_nonVoting.size(); }
    /** Returns whether more than half of the members have ended; among those that vote; during a change, of those before or of those after it. */
    bool haveMostEnded() const;
    /** Returns whether all members have ended; false for an empty list. */
    bool haveAllEnded() const;
    /** Returns whether the member has ended and no longer counts for majorities. */
    bool isExcludedFromMajority(MemberSlot slot, MonotonicTime now) const;

    /** Returns whether the predicate holds for a majority of the members that count. */
    bool isMajority(const Predicate &predicate, MonotonicTime now) const;
    /** Returns whether the predicate holds for a majority of all members, including ended members. */
    bool isMajorityOfAll(const Predicate &predicate) const;
    /** Returns the greatest value that a majority of the members that count has at least; Value() without members. */
    template <typename Value, typename Function>
    Value majorityValue(Function valueOf, MonotonicTime now) const;

private:
    /** Returns the members whose majorities decide: the voters, or those before and after the change in progress. */
    std::vector<std::vector<MemberSlot>> electorates() const;
    std::vector<MemberSlot> membersWithout(const std::set<MemberSlot> &excluded) const;

    std::vector<Member> m_members;
    CellRevision m_revision;
    std::set<MemberSlot> m_nonVoting;
    /** Members whose votes did not count before the change in progress; empty if there is none. */
    std::optional<std::set<MemberSlot>> m_formerNonVoting;
    std::set<MemberSlot> m_departing;
    /** Ended members, with the time from which they no longer count for majorities. */
    std::map<MemberSlot, MonotonicTime> m_ended;
};

template <typename Value, typename Function>
Value MemberList::majorityValue(Function valueOf, MonotonicTime now) const
{
    std::optional<Value> result;
    for (const std::vector<MemberSlot> &electorate : electorates()) {
        std::vector<Value> values;
        for (const MemberSlot slot : electorate) {
            if (!isExcludedFromMajority(slot, now)) {
                values.push_back(valueOf(slot));
            }
        }
        if (values.empty()) {
            return Value();
        }
        const auto deciding = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), deciding, values.end(), std::greater<>());
        result = result ? std::min(*result, *deciding) : *deciding;
    }
    return result.value_or(Value());
}

} // namespace nutmeghinge
