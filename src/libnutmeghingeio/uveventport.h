#pragma once

#include <kj/async.h>
#include <memory>
#include <uv.h>

namespace nutmeghinge {

class EventLoop;

/**
 * Runs the kj event loop of this thread inside the uv loop: each time that kj
 * has events queued, the next turn of the uv loop runs them. Borrows the loop.
 */
class UvEventPort : private kj::EventPort
{
public:
    /** Port of this thread, made on first use; kj has one loop a thread, so all users must name the same uv loop. */
    static std::shared_ptr<UvEventPort> ofThread(EventLoop &loop);

    ~UvEventPort() noexcept(false);
    UvEventPort(const UvEventPort &) = delete;
    UvEventPort &operator=(const UvEventPort &) = delete;

    /** Runs what is queued now, without waiting for the uv loop. */
    void runQueued() { m_kjLoop.run(); }

private:
    explicit UvEventPort(EventLoop &loop);

    bool wait() override;
    bool poll() override;
    void setRunnable(bool runnable) override;

    EventLoop &m_loop;
    /** On the heap, since uv closes it after this object is gone. */
    uv_idle_t *m_idle;
    kj::EventLoop m_kjLoop;
    kj::WaitScope m_scope;
};

} // namespace nutmeghinge
