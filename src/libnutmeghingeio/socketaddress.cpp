#include "socketaddress.h"

#include <array>

namespace nutmeghinge {

namespace {

Endpoint endpointOf(const sockaddr_storage &storage)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (storage.ss_family == AF_INET6) {
        const auto *address = reinterpret_cast<const sockaddr_in6 *>(&storage);
        uv_ip6_name(address, text.data(), text.size());
        return {text.data(), ntohs(address->sin6_port)};
    }
    const auto *address = reinterpret_cast<const sockaddr_in *>(&storage);
    uv_ip4_name(address, text.data(), text.size());
    return {text.data(), ntohs(address->sin_port)};
}

} // namespace

std::optional<SocketAddress> SocketAddress::fromEndpoint(const Endpoint &endpoint)
{
    SocketAddress result;
    if (uv_ip4_addr(endpoint.address.c_str(), endpoint.port, reinterpret_cast<sockaddr_in *>(&result.m_storage)) == 0) {
        return result;
    }
    if (uv_ip6_addr(endpoint.address.c_str(), endpoint.port, reinterpret_cast<sockaddr_in6 *>(&result.m_storage)) == 0) {
        return result;
    }
    return std::nullopt;
}

Endpoint SocketAddress::localEndpoint(const uv_tcp_t *socket)
{
    sockaddr_storage storage{};
    int size = sizeof(storage);
    if (uv_tcp_getsockname(socket, reinterpret_cast<sockaddr *>(&storage), &size) != 0) {
        return {};
    }
    return endpointOf(storage);
}

Endpoint SocketAddress::remoteEndpoint(const uv_tcp_t *socket)
{
    sockaddr_storage storage{};
    int size = sizeof(storage);
    if (uv_tcp_getpeername(socket, reinterpret_cast<sockaddr *>(&storage), &size) != 0) {
        return {};
    }
    return endpointOf(storage);
}

} // namespace nutmeghinge
