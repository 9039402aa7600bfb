#pragma once

#include "ids.h"

#include <deque>
#include <optional>

namespace nutmeghinge {

/** FIFO queue of waiting requests. The caller limits its size. */
class RequestQueue
{
public:
    void push(RequestId id) { m_ids.push_back(id); }
    std::optional<RequestId> pop();
    void remove(RequestId id);
    /** Removes and returns all requests. */
    std::deque<RequestId> takeAll();

    const std::deque<RequestId> &ids() const { return m_ids; }
    std::uint32_t size() const { return static_cast<std::uint32_t>(m_ids.size()); }
    bool isEmpty() const { return m_ids.empty(); }

private:
    std::deque<RequestId> m_ids;
};

} // namespace nutmeghinge
