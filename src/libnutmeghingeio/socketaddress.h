#pragma once

#include "endpoint.h"

#include <optional>
#include <uv.h>

namespace nutmeghinge {

/** An endpoint in the form that the socket functions take. */
class SocketAddress
{
public:
    /** Nothing where the address is no IP number. */
    static std::optional<SocketAddress> fromEndpoint(const Endpoint &endpoint);
    /** Local endpoint of a bound socket. */
    static Endpoint localEndpoint(const uv_tcp_t *socket);
    /** Endpoint of the other side of a connected socket; empty where it has gone. */
    static Endpoint remoteEndpoint(const uv_tcp_t *socket);

    const sockaddr *data() const { return reinterpret_cast<const sockaddr *>(&m_storage); }

private:
    sockaddr_storage m_storage{};
};

} // namespace nutmeghinge
