#include "coordinatorterm.h"

#include "memberlist.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace nutmeghinge {

namespace {

/** Terms of one counter value, one for each slot. */
constexpr std::uint64_t slotsPerCounter = 65536;
/** More than 64 members can stand for in the 12 s of the platform's hold limit, each not before 300 ms after its last time. */
constexpr std::uint64_t countersPerHoldLimit = 4096;

} // namespace

CoordinatorTerm::CoordinatorTerm(const Timings &timings)
    : m_promise(timings.promise)
    , m_renewal(timings.promiseRenewal)
{
}

Term CoordinatorTerm::next(Term highest, MemberSlot slot)
{
    return Term((highest.value() / slotsPerCounter + 1) * slotsPerCounter + slot.value() % slotsPerCounter);
}

Term CoordinatorTerm::beyondHoldLimit(Term written)
{
    return Term(written.value() + countersPerHoldLimit * slotsPerCounter);
}

MemberSlot CoordinatorTerm::slotOf(Term term)
{
    return MemberSlot(static_cast<std::uint32_t>(term.value() % slotsPerCounter));
}

void CoordinatorTerm::stand(Term term, MonotonicTime now)
{
    m_state = State::Candidate;
    m_term = term;
    m_stoodAt = now;
    m_nextRequest = now;
    m_promisedUntil.clear();
    m_newestMap = OwnershipMap();
    m_newestDocument = DocumentRevision();
}

void CoordinatorTerm::end()
{
    m_state = State::Follower;
    m_promisedUntil.clear();
}

void CoordinatorTerm::addOwnPromise(MemberSlot self, MonotonicTime askedAt)
{
    m_promisedUntil[self] = askedAt + m_promise;
}

void CoordinatorTerm::addPromise(MemberSlot from, const PromiseAnswer &answer)
{
    if (!answer.map && !m_promisedUntil.contains(from)) {
        return;
    }
    MonotonicTime &until = m_promisedUntil[from];
    until = std::max(until, answer.sentAt + m_promise);
    if (answer.map && answer.map->version > m_newestMap.version) {
        m_newestMap = *answer.map;
    }
    m_newestDocument = std::max(m_newestDocument, answer.document);
}

bool CoordinatorTerm::isPromisedBy(MemberSlot slot, MonotonicTime now) const
{
    const auto promise = m_promisedUntil.find(slot);
    return promise != m_promisedUntil.end() && now < promise->second;
}

bool CoordinatorTerm::hasMajority(const MemberList &members, MonotonicTime now) const
{
    return members.isMajority([&](MemberSlot slot) { return isPromisedBy(slot, now); }, now);
}

bool CoordinatorTerm::hasMajorityOfAll(const MemberList &members, MonotonicTime now) const
{
    return members.isMajorityOfAll([&](MemberSlot slot) { return isPromisedBy(slot, now); });
}

MonotonicTime CoordinatorTerm::endsAt(const MemberList &members, MonotonicTime now) const
{
    std::vector<MonotonicTime> ends;
    for (const Member &member : members.members()) {
        if (members.isOutOfCount(member.slot, now)) {
            continue;
        }
        const auto promise = m_promisedUntil.find(member.slot);
        ends.push_back(promise == m_promisedUntil.end() ? MonotonicTime() : promise->second);
    }
    if (ends.empty()) {
        return now;
    }
    const auto deciding = ends.begin() + static_cast<std::ptrdiff_t>(ends.size() / 2);
    std::nth_element(ends.begin(), deciding, ends.end(), std::greater<>());
    return *deciding;
}

} // namespace nutmeghinge
