#include "linkpacer.h"

#include "eventloop.h"

#include <algorithm>

namespace nutmeghinge {

LinkPacer::LinkPacer(EventLoop &loop, double bytesPerSecond)
    : m_loop(loop)
    , m_capacity(bytesPerSecond)
    , m_timer(new uv_timer_t)
{
    uv_timer_init(loop.handle(), m_timer);
    m_timer->data = this;
}

LinkPacer::~LinkPacer()
{
    uv_close(reinterpret_cast<uv_handle_t *>(m_timer), [](uv_handle_t *handle) { delete reinterpret_cast<uv_timer_t *>(handle); });
}

void LinkPacer::request(Writer &writer)
{
    if (!isWaiting(writer)) {
        m_waiting.emplace(m_capacity.dueAt(writer.bytesLeft(), m_loop.now()), &writer);
    }
    serve();
}

void LinkPacer::withdraw(Writer &writer)
{
    std::erase_if(m_waiting, [&](const auto &entry) { return entry.second == &writer; });
}

bool LinkPacer::isWaiting(const Writer &writer) const
{
    return std::ranges::any_of(m_waiting, [&](const auto &entry) { return entry.second == &writer; });
}

void LinkPacer::sent(std::uint64_t bytes)
{
    m_capacity.sent(bytes, m_loop.now());
}

void LinkPacer::serve()
{
    if (m_serving) {
        return;
    }
    m_serving = true;
    while (!m_waiting.empty() && m_capacity.maySend(m_loop.now())) {
        Writer *writer = m_waiting.begin()->second;
        if (!writer->writeChunk(m_capacity.chunkBytes())) {
            withdraw(*writer);
        }
    }
    m_serving = false;
    serveLater();
}

void LinkPacer::serveLater()
{
    if (m_waiting.empty()) {
        uv_timer_stop(m_timer);
        return;
    }
    const auto fire = [](uv_timer_t *timer) { static_cast<LinkPacer *>(timer->data)->serve(); };
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(m_capacity.timeUntilChunk(m_loop.now())).count();
    uv_timer_start(m_timer, fire, static_cast<std::uint64_t>(std::max<std::int64_t>(wait, 1)), 0);
}

} // namespace nutmeghinge
