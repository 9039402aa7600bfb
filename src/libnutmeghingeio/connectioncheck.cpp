#include "connectioncheck.h"

#include "eventloop.h"
#include "socketaddress.h"

#include <optional>

namespace nutmeghinge {

using State = TargetChecked::State;

ConnectionCheck::ConnectionCheck(EventLoop &loop, Function function)
    : m_function(std::move(function))
{
    uv_tcp_init(loop.handle(), &m_socket);
    uv_timer_init(loop.handle(), &m_timer);
    m_socket.data = this;
    m_timer.data = this;
    m_connect.data = this;
}

void ConnectionCheck::start(EventLoop &loop, const Endpoint &endpoint, Duration timeout, Function function)
{
    auto *check = new ConnectionCheck(loop, std::move(function));
    check->open(endpoint, timeout);
}

void ConnectionCheck::open(const Endpoint &endpoint, Duration timeout)
{
    const auto onConnect = [](uv_connect_t *request, int status) {
        const State refusedOrUnknown = status == UV_ECONNREFUSED ? State::Refused : State::Unknown;
        static_cast<ConnectionCheck *>(request->data)->end(status == 0 ? State::Listening : refusedOrUnknown);
    };
    const std::optional<SocketAddress> address = SocketAddress::fromEndpoint(endpoint);
    const int started = address ? uv_tcp_connect(&m_connect, &m_socket, address->data(), onConnect) : UV_EINVAL;
    if (started != 0) {
        end(started == UV_ECONNREFUSED ? State::Refused : State::Unknown);
        return;
    }
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(timeout).count();
    const auto onTimeout = [](uv_timer_t *timer) { static_cast<ConnectionCheck *>(timer->data)->end(State::Unknown); };
    uv_timer_start(&m_timer, onTimeout, static_cast<std::uint64_t>(milliseconds), 0);
}

/** Closes the connection; the function is called when that is done. */
void ConnectionCheck::end(State state)
{
    if (m_ended) {
        return;
    }
    m_ended = true;
    m_state = state;
    const auto onClose = [](uv_handle_t *handle) {
        auto *check = static_cast<ConnectionCheck *>(handle->data);
        if (--check->m_openHandles > 0) {
            return;
        }
        const Function function = std::move(check->m_function);
        const State result = check->m_state;
        delete check;
        function(result);
    };
    uv_close(reinterpret_cast<uv_handle_t *>(&m_socket), onClose);
    uv_close(reinterpret_cast<uv_handle_t *>(&m_timer), onClose);
}

} // namespace nutmeghinge
