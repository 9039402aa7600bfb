#include "memberlease.h"

#include <algorithm>

namespace nutmeghinge {

void MemberLease::extend(MonotonicTime sentAt, Duration length)
{
    if (sentAt >= m_ignoreSentBefore) {
        m_end = std::max(m_end, sentAt + length);
    }
}

void MemberLease::expire(MonotonicTime now)
{
    m_end = std::min(m_end, now);
    m_ignoreSentBefore = now;
}

} // namespace nutmeghinge
