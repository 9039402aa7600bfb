#pragma once

#include "units.h"

#include <functional>
#include <uv.h>

namespace nutmeghinge {

/**
 * The one loop of the process, on one thread. Owns the uv loop; every adapter
 * borrows it and must be gone before it.
 */
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    uv_loop_t *handle() { return &m_loop; }
    /** Time of the monotonic clock that also counts while the machine sleeps. */
    MonotonicTime now() const;
    WallTime wallTime() const;
    /** Runs until stop() is called. */
    void run();
    void stop();
    /** Calls the function once after the delay; cannot be cancelled. */
    void callLater(Duration delay, std::function<void()> function);
    /** Calls the function after each interval until the loop ends. */
    void callEvery(Duration interval, std::function<void()> function);

private:
    uv_loop_t m_loop{};
};

} // namespace nutmeghinge
