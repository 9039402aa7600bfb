#pragma once

#include "ids.h"
#include "units.h"

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

namespace nutmeghinge {

/**
 * Remembers which idempotency keys this node forwarded without learning the
 * outcome, and to whom. Only that member can say what became of such a request;
 * a successor that took over by loss would run a repeat as new.
 */
class UnknownForwards
{
public:
    void setBounds(std::size_t entries, Duration window);
    void remember(const std::string &key, MemberSlot member, MonotonicTime now);
    /** The key's request may have run at a node other than the given one. */
    bool mayHaveRunElsewhere(const std::string &key, MemberSlot member, MonotonicTime now) const;

private:
    struct Entry {
        MemberSlot member;
        MonotonicTime at;
    };

    void expire(MonotonicTime now);

    std::size_t m_bound = 0;
    Duration m_window{0};
    std::unordered_map<std::string, Entry> m_entries;
    /** Keys by the time at which they were remembered. */
    std::deque<std::pair<MonotonicTime, std::string>> m_order;
};

} // namespace nutmeghinge
