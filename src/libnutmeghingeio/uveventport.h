#pragma once

#include <kj/async.h>
#include <memory>
#include <uv.h>

namespace nutmeghinge {

class EventLoop;

/**
 * Runs the kj event loop of this thread inside the uv loop: events queued in kj
 * run in the next iteration of the uv loop. Borrows the loop.
 */
class UvEventPort : private kj::EventPort
{
public:
    /** Returns the port of this thread, created on first use. kj has one loop per thread, so all callers must pass the same uv loop. */
    static std::shared_ptr<UvEventPort> forCurrentThread(EventLoop &loop);

    ~UvEventPort() noexcept(false);
    UvEventPort(const UvEventPort &) = delete;
    UvEventPort &operator=(const UvEventPort &) = delete;

    /** Runs the queued kj events immediately, without waiting for the uv loop. */
    void runQueued() { m_kjLoop.run(); }

private:
    explicit UvEventPort(EventLoop &loop);

    bool wait() override;
    bool poll() override;
    void setRunnable(bool runnable) override;

    EventLoop &m_loop;
    /** On the heap, since uv closes the handle after this object is destroyed. */
    uv_idle_t *m_idle;
    kj::EventLoop m_kjLoop;
    kj::WaitScope m_scope;
};

} // namespace nutmeghinge
