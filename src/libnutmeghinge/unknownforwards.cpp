#include "unknownforwards.h"

namespace nutmeghinge {

void UnknownForwards::setBounds(std::size_t entries, Duration window)
{
    m_maximumEntries = entries;
    m_window = window;
}

void UnknownForwards::remember(const std::string &key, MemberSlot member, MonotonicTime now)
{
    m_entries.insert_or_assign(key, Entry{member, now});
    m_order.emplace_back(now, key);
    expire(now);
}

bool UnknownForwards::mayHaveRunElsewhere(const std::string &key, MemberSlot member, MonotonicTime now) const
{
    const auto entry = m_entries.find(key);
    return entry != m_entries.end() && entry->second.member != member && now - entry->second.at <= m_window;
}

void UnknownForwards::expire(MonotonicTime now)
{
    while (!m_order.empty() && (m_order.size() > m_maximumEntries || now - m_order.front().first > m_window)) {
        const auto entry = m_entries.find(m_order.front().second);
        if (entry != m_entries.end() && entry->second.at == m_order.front().first) {
            m_entries.erase(entry);
        }
        m_order.pop_front();
    }
}

} // namespace nutmeghinge
