#include "socketaddress.h"

#include <array>

namespace nutmeghinge {

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

Endpoint SocketAddress::toEndpoint(const sockaddr_storage &address)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.ss_family == AF_INET6) {
        const auto *ip6 = reinterpret_cast<const sockaddr_in6 *>(&address);
        uv_ip6_name(ip6, text.data(), text.size());
        return {text.data(), ntohs(ip6->sin6_port)};
    }
    if (address.ss_family == AF_INET) {
        const auto *ip4 = reinterpret_cast<const sockaddr_in *>(&address);
        uv_ip4_name(ip4, text.data(), text.size());
        return {text.data(), ntohs(ip4->sin_port)};
    }
    return {};
}

Endpoint SocketAddress::localEndpoint(const uv_tcp_t *socket)
{
    sockaddr_storage storage{};
    int size = sizeof(storage);
    if (uv_tcp_getsockname(socket, reinterpret_cast<sockaddr *>(&storage), &size) != 0) {
        return {};
    }
    return toEndpoint(storage);
}

Endpoint SocketAddress::remoteEndpoint(const uv_tcp_t *socket)
{
    sockaddr_storage storage{};
    int size = sizeof(storage);
    if (uv_tcp_getpeername(socket, reinterpret_cast<sockaddr *>(&storage), &size) != 0) {
        return {};
    }
    return toEndpoint(storage);
}

} // namespace nutmeghinge
