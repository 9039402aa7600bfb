#include "promisekeeper.h"

#include <algorithm>

namespace nutmeghinge {

PromiseKeeper::PromiseKeeper(const Timings &timings, MonotonicTime startedAt)
    : m_length(timings.withDrift(timings.promise))
    , m_quietUntil(startedAt + timings.quietPromises * m_length)
    , m_until(startedAt)
{
}

bool PromiseKeeper::promise(Term term, MemberSlot candidate, MonotonicTime now)
{
    sawTerm(term);
    if (now < m_quietUntil || term < m_term) {
        return false;
    }
    if (candidate != m_candidate && (now < m_until || term == m_term)) {
        return false;
    }
    if (term != m_term) {
        m_termBefore = m_term;
    }
    m_term = term;
    m_candidate = candidate;
    m_until = now + m_length;
    return true;
}

void PromiseKeeper::heardOther(MonotonicTime now)
{
    if (now < m_quietUntil) {
        m_otherUntil = now + m_length;
    }
}

void PromiseKeeper::withdraw(Term term, MemberSlot candidate, MonotonicTime now)
{
    if (m_term != term || m_candidate != candidate) {
        return;
    }
    m_term = m_termBefore;
    m_candidate = noMember;
    m_until = std::min(m_until, now);
}

void PromiseKeeper::sawTerm(Term term)
{
    m_highestTerm = std::max(m_highestTerm, term);
}

void PromiseKeeper::sawFence(Term term)
{
    m_fenceTerm = std::max(m_fenceTerm, term);
    sawTerm(term);
}

MonotonicTime PromiseKeeper::boundUntil() const
{
    return std::max(m_quietUntil, m_until);
}

} // namespace nutmeghinge
