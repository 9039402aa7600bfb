#include "looprunner.h"

namespace nutmeghinge {

namespace {

constexpr std::uint64_t wakeMilliseconds = 2;

} // namespace

LoopRunner::LoopRunner(EventLoop &loop)
    : m_loop(loop)
    , m_timer(new uv_timer_t)
{
    uv_timer_init(loop.handle(), m_timer);
    uv_timer_start(
        m_timer, [](uv_timer_t *) {}, wakeMilliseconds, wakeMilliseconds);
}

LoopRunner::~LoopRunner()
{
    uv_close(reinterpret_cast<uv_handle_t *>(m_timer), [](uv_handle_t *handle) { delete reinterpret_cast<uv_timer_t *>(handle); });
}

bool LoopRunner::runUntil(const std::function<bool()> &condition, Duration limit)
{
    const MonotonicTime end = m_loop.now() + limit;
    while (!condition()) {
        if (m_loop.now() >= end) {
            return false;
        }
        uv_run(m_loop.handle(), UV_RUN_ONCE);
    }
    return true;
}

void LoopRunner::runFor(Duration time)
{
    runUntil([] { return false; }, time);
}

} // namespace nutmeghinge
