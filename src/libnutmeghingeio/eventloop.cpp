#include "eventloop.h"

#include <cassert>
#include <csignal>
#include <memory>

namespace nutmeghinge {

namespace {

struct Timer {
    uv_timer_t handle{};
    std::function<void()> function;
};

Timer *timerOf(uv_timer_t *handle)
{
    return static_cast<Timer *>(handle->data);
}

void deleteTimer(uv_handle_t *handle)
{
    delete timerOf(reinterpret_cast<uv_timer_t *>(handle));
}

void fireOnce(uv_timer_t *handle)
{
    const std::function<void()> function = std::move(timerOf(handle)->function);
    uv_close(reinterpret_cast<uv_handle_t *>(handle), deleteTimer);
    function();
}

void fireRepeated(uv_timer_t *handle)
{
    timerOf(handle)->function();
}

std::uint64_t millisecondsOf(Duration duration)
{
    return static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::milliseconds>(duration).count());
}

Timer *makeTimer(uv_loop_t *loop, std::function<void()> function)
{
    auto timer = std::make_unique<Timer>();
    timer->function = std::move(function);
    timer->handle.data = timer.get();
    uv_timer_init(loop, &timer->handle);
    return timer.release();
}

} // namespace

EventLoop::EventLoop()
{
    // Writing to a connection that the peer has closed must fail that write, not terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
    const int result = uv_loop_init(&m_loop);
    assert(result == 0);
    (void)result;
    m_lag.emplace(&m_loop);
}

EventLoop::~EventLoop()
{
    m_lag->close();
    uv_run(&m_loop, UV_RUN_NOWAIT);
    uv_loop_close(&m_loop);
}

MonotonicTime EventLoop::now() const
{
    return LoopLag::now();
}

WallTime EventLoop::wallTime() const
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

void EventLoop::run()
{
    uv_run(&m_loop, UV_RUN_DEFAULT);
}

void EventLoop::stop()
{
    uv_stop(&m_loop);
}

void EventLoop::callLater(Duration delay, std::function<void()> function)
{
    Timer *timer = makeTimer(&m_loop, std::move(function));
    uv_timer_start(&timer->handle, fireOnce, millisecondsOf(delay), 0);
}

void EventLoop::callEvery(Duration interval, std::function<void()> function)
{
    Timer *timer = makeTimer(&m_loop, std::move(function));
    uv_timer_start(&timer->handle, fireRepeated, millisecondsOf(interval), millisecondsOf(interval));
}

} // namespace nutmeghinge
