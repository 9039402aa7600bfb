#pragma once

#include "looplag.h"
#include "units.h"

#include <functional>
#include <optional>
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
    /** Returns the time by which everything that had arrived was handled before the present function was called. */
    MonotonicTime inputHandledUntil() { return m_lag->inputHandledUntil(now()); }
    /** Returns the number of the loop's present turn. In each, it reads once what has arrived. */
    std::uint64_t turn() const { return m_lag->turn(); }
    /** Runs until stop() is called. */
    void run();
    void stop();
    /** Calls the function once after the delay. Cannot be cancelled. */
    void callLater(Duration delay, std::function<void()> function);
    /** Calls the function repeatedly at the interval until the loop is destroyed. */
    void callEvery(Duration interval, std::function<void()> function);

private:
    uv_loop_t m_loop{};
    std::optional<LoopLag> m_lag;
};

} // namespace nutmeghinge
