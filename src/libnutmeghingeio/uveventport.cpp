#include "uveventport.h"

#include "eventloop.h"

#include <cassert>

namespace nutmeghinge {

namespace {

uv_idle_t *makeIdle(uv_loop_t *loop)
{
    auto handle = std::make_unique<uv_idle_t>();
    uv_idle_init(loop, handle.get());
    return handle.release();
}

void deleteIdle(uv_handle_t *handle)
{
    delete reinterpret_cast<uv_idle_t *>(handle);
}

void runPort(uv_idle_t *handle)
{
    static_cast<UvEventPort *>(handle->data)->runQueued();
}

} // namespace

std::shared_ptr<UvEventPort> UvEventPort::forCurrentThread(EventLoop &loop)
{
    thread_local std::weak_ptr<UvEventPort> current;
    std::shared_ptr<UvEventPort> port = current.lock();
    if (!port) {
        port.reset(new UvEventPort(loop));
        current = port;
    }
    assert(&port->m_loop == &loop);
    return port;
}

UvEventPort::UvEventPort(EventLoop &loop)
    : m_loop(loop)
    , m_idle(makeIdle(loop.handle()))
    , m_kjLoop(*this)
    , m_scope(m_kjLoop)
{
    m_idle->data = this;
}

UvEventPort::~UvEventPort() noexcept(false)
{
    uv_idle_stop(m_idle);
    uv_close(reinterpret_cast<uv_handle_t *>(m_idle), deleteIdle);
}

bool UvEventPort::wait()
{
    uv_run(m_loop.handle(), UV_RUN_ONCE);
    return false;
}

bool UvEventPort::poll()
{
    uv_run(m_loop.handle(), UV_RUN_NOWAIT);
    return false;
}

void UvEventPort::setRunnable(bool runnable)
{
    if (runnable) {
        uv_idle_start(m_idle, runPort);
    } else {
        uv_idle_stop(m_idle);
    }
}

} // namespace nutmeghinge
