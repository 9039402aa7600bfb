#include "promisekeeper.h"

#include <algorithm>

namespace nutmeghinge {

PromiseKeeper::PromiseKeeper(const Timings &timings, MonotonicTime startedAt)
    : m_length(timings.withDrift(timings.promise))
    , m_quietUntil(startedAt + 2 * m_length)
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
    m_term = term;
    m_candidate = candidate;
    m_until = now + m_length;
    return true;
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
