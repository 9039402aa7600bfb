#include "looplag.h"

#include <algorithm>
#include <ctime>

namespace nutmeghinge {

namespace {

/** The loop's own clock counts whole milliseconds. */
constexpr Duration clockUnit = std::chrono::milliseconds(1);
/** A wait that was longer than meant by this much shows that the process did not run. */
constexpr Duration overslept = std::chrono::milliseconds(5);

} // namespace

LoopLag::LoopLag(uv_loop_t *loop)
    : m_loop(loop)
    , m_pollBegan(now())
    , m_handledUntil(m_pollBegan)
{
    uv_prepare_init(loop, &m_prepare);
    uv_check_init(loop, &m_check);
    m_prepare.data = this;
    m_check.data = this;
    uv_prepare_start(&m_prepare, [](uv_prepare_t *handle) { static_cast<LoopLag *>(handle->data)->pollBegins(); });
    uv_check_start(&m_check, [](uv_check_t *handle) { static_cast<LoopLag *>(handle->data)->pollEnded(); });
    uv_unref(reinterpret_cast<uv_handle_t *>(&m_prepare));
    uv_unref(reinterpret_cast<uv_handle_t *>(&m_check));
}

void LoopLag::close()
{
    uv_close(reinterpret_cast<uv_handle_t *>(&m_prepare), nullptr);
    uv_close(reinterpret_cast<uv_handle_t *>(&m_check), nullptr);
}

MonotonicTime LoopLag::now()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return MonotonicTime(std::chrono::seconds(time.tv_sec) + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec)));
}

MonotonicTime LoopLag::waitEnd(MonotonicTime now) const
{
    const auto elapsed = std::chrono::nanoseconds(uv_hrtime()) - std::chrono::milliseconds(uv_now(m_loop));
    return std::max(m_pollBegan, now - std::chrono::duration_cast<Duration>(elapsed));
}

MonotonicTime LoopLag::inputHandledUntil(MonotonicTime now)
{
    if (!m_polling) {
        return m_handledUntil;
    }
    const MonotonicTime end = waitEnd(now);
    const Duration waited = end - m_pollBegan;
    if (m_timeout == Duration::zero() || waited < clockUnit) {
        // The input was there when the wait began, or may have been: libuv states no timeout if it has yet to watch a new connection.
        return m_handledUntil;
    }
    // A wait shows that there was no input when it began.
    const bool ran = m_timeout < Duration::zero() || waited <= m_timeout + overslept;
    return ran ? end - clockUnit : m_pollBegan;
}

void LoopLag::pollBegins()
{
    ++m_turn;
    m_pollBegan = now();
    m_timeout = std::chrono::milliseconds(uv_backend_timeout(m_loop));
    m_polling = true;
}

void LoopLag::pollEnded()
{
    m_handledUntil = waitEnd(now());
    m_polling = false;
}

} // namespace nutmeghinge
