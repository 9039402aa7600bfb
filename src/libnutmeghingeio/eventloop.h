#pragma once

#include "units.h"

#include <functional>
#include <uv.h>

namespace nutmeghinge {

/**
 * The process's only event loop, which runs on a single thread. Owns the uv loop.
 * Adapters borrow it and must be destroyed before it.
 */
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    uv_loop_t *handle() { return &m_loop; }
    /** Returns the time of the monotonic clock, which includes the time that the machine was suspended. */
    MonotonicTime now() const;
    WallTime wallTime() const;
    /** Runs until stop() is called. */
    void run();
    void stop();
    /** Calls the function once after the delay. Cannot be cancelled. */
    void callLater(Duration delay, std::function<void()> function);
    /** Calls the function repeatedly at the interval until the loop is destroyed. */
    void callEvery(Duration interval, std::function<void()> function);

private:
    uv_loop_t m_loop{};
};

} // namespace nutmeghinge
