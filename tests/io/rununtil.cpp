#include "rununtil.h"

#include "eventloop.h"

namespace nutmeghinge {

namespace {

constexpr std::uint64_t pollIntervalMs = 5;
constexpr Duration timeout = std::chrono::minutes(1);

/** Wakes the loop at intervals, so that no iteration blocks for long. */
class Waker
{
public:
    explicit Waker(EventLoop &loop)
        : m_timer(new uv_timer_t)
    {
        uv_timer_init(loop.handle(), m_timer);
        uv_timer_start(
            m_timer, [](uv_timer_t *) {}, pollIntervalMs, pollIntervalMs);
    }
    ~Waker()
    {
        uv_close(reinterpret_cast<uv_handle_t *>(m_timer), [](uv_handle_t *handle) { delete reinterpret_cast<uv_timer_t *>(handle); });
    }
    Waker(const Waker &) = delete;
    Waker &operator=(const Waker &) = delete;

private:
    uv_timer_t *m_timer;
};

} // namespace

bool runUntil(EventLoop &loop, const std::function<bool()> &condition)
{
    const Waker waker(loop);
    const MonotonicTime end = loop.now() + timeout;
    while (!condition()) {
        if (loop.now() > end) {
            return false;
        }
        uv_run(loop.handle(), UV_RUN_ONCE);
    }
    return true;
}

void runIterations(EventLoop &loop, int iterations)
{
    const Waker waker(loop);
    for (int iteration = 0; iteration < iterations; ++iteration) {
        uv_run(loop.handle(), UV_RUN_ONCE);
    }
}

} // namespace nutmeghinge
