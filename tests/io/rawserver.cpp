#include "rawserver.h"

#include "eventloop.h"

#include <arpa/inet.h>

namespace nutmeghinge {

RawServer::RawServer(EventLoop &loop, DataFunction dataFunction)
    : m_loop(loop)
    , m_dataFunction(std::move(dataFunction))
    , m_listener(new uv_tcp_t)
{
    uv_tcp_init(loop.handle(), m_listener);
    m_listener->data = this;
    sockaddr_in address{};
    uv_ip4_addr("127.0.0.1", 0, &address);
    uv_tcp_bind(m_listener, reinterpret_cast<sockaddr *>(&address), 0);
    uv_listen(reinterpret_cast<uv_stream_t *>(m_listener), 128, [](uv_stream_t *listener, int) {
        auto *server = static_cast<RawServer *>(listener->data);
        auto connection = std::make_unique<RawConnection>(server->m_loop, listener);
        RawConnection *accepted = connection.get();
        accepted->setReceivedFunction([server, accepted] { server->m_dataFunction(*accepted); });
        server->m_connections.push_back(std::move(connection));
    });
    int size = sizeof(address);
    uv_tcp_getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
    m_endpoint = {"127.0.0.1", ntohs(address.sin_port)};
}

RawServer::~RawServer()
{
    uv_close(reinterpret_cast<uv_handle_t *>(m_listener), [](uv_handle_t *handle) { delete reinterpret_cast<uv_tcp_t *>(handle); });
}

} // namespace nutmeghinge
