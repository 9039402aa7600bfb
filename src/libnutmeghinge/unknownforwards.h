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
 * Remembers the idempotency keys of requests that this node forwarded without
 * learning the outcome, and the member that each was sent to. Only that member
 * can know the outcome; a successor that took over after its loss would run a
 * repeat as a new request.
 */
class UnknownForwards
{
public:
    /** Sets the maximum number of entries and how long each is kept. */
    void setBounds(std::size_t entries, Duration window);
    /** Records that the outcome of the key's request at the member is unknown. */
    void remember(const std::string &key, MemberSlot member, MonotonicTime now);
    /** Returns whether the key's request may have run at a member other than the given one. */
    bool mayHaveRunElsewhere(const std::string &key, MemberSlot member, MonotonicTime now) const;

private:
    struct Entry {
        MemberSlot member;
        MonotonicTime at;
    };

    void expire(MonotonicTime now);

    std::size_t m_maximumEntries = 0;
    Duration m_window{0};
    std::unordered_map<std::string, Entry> m_entries;
    /** Keys with the time at which they were remembered, oldest first. */
    std::deque<std::pair<MonotonicTime, std::string>> m_order;
};

} // namespace nutmeghinge
