#pragma once

#include "endpoint.h"

#include <optional>
#include <uv.h>

namespace nutmeghinge {

/** An IP endpoint as a sockaddr for the socket functions. */
class SocketAddress
{
public:
    /** Returns the socket address of the endpoint, or std::nullopt if its address is not an IP address. */
    static std::optional<SocketAddress> fromEndpoint(const Endpoint &endpoint);
    /** Returns the endpoint in the socket address; empty if that is of another family than IP. */
    static Endpoint toEndpoint(const sockaddr_storage &address);
    /** Returns the local endpoint of a bound socket, or an empty one on error. */
    static Endpoint localEndpoint(const uv_tcp_t *socket);
    /** Returns the peer's endpoint of a connected socket, or an empty one if the peer has disconnected. */
    static Endpoint remoteEndpoint(const uv_tcp_t *socket);

    const sockaddr *data() const { return reinterpret_cast<const sockaddr *>(&m_storage); }

private:
    sockaddr_storage m_storage{};
};

} // namespace nutmeghinge
