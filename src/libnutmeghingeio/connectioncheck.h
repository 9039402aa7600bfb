#pragma once

#include "endpoint.h"
#include "events.h"
#include "units.h"

#include <functional>
#include <uv.h>

namespace nutmeghinge {

class EventLoop;

/** Opens one TCP connection and closes it without sending anything, to find out whether a process listens. Owns itself until it has ended. */
class ConnectionCheck
{
public:
    using Function = std::function<void(TargetChecked::State)>;

    /** Starts a check. The event loop calls the function once, after start() has returned and within about the timeout. */
    static void start(EventLoop &loop, const Endpoint &endpoint, Duration timeout, Function function);

private:
    ConnectionCheck(EventLoop &loop, Function function);
    ~ConnectionCheck() = default;

    void open(const Endpoint &endpoint, Duration timeout);
    void end(TargetChecked::State state);

    Function m_function;
    uv_tcp_t m_socket{};
    uv_timer_t m_timer{};
    uv_connect_t m_connect{};
    TargetChecked::State m_state = TargetChecked::State::Unknown;
    bool m_ended = false;
    int m_openHandles = 2;
};

} // namespace nutmeghinge
