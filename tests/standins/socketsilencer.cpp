#include "socketsilencer.h"

#include "eventloop.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <sys/socket.h>

namespace nutmeghinge {

namespace {

/** Attaches a socket filter that makes the kernel drop every incoming segment. */
void dropIncoming(uv_os_fd_t socket)
{
    sock_filter acceptNothing = BPF_STMT(BPF_RET | BPF_K, 0);
    const sock_fprog program{1, &acceptNothing};
    setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

std::uint16_t portOf(const sockaddr_storage &address)
{
    if (address.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<const sockaddr_in6 &>(address).sin6_port);
    }
    return ntohs(reinterpret_cast<const sockaddr_in &>(address).sin_port);
}

bool isConnectedAt(uv_os_fd_t socket, std::uint16_t localPort)
{
    sockaddr_storage peer{};
    sockaddr_storage local{};
    socklen_t peerSize = sizeof(peer);
    socklen_t localSize = sizeof(local);
    return getpeername(socket, reinterpret_cast<sockaddr *>(&peer), &peerSize) == 0
           && getsockname(socket, reinterpret_cast<sockaddr *>(&local), &localSize) == 0 && portOf(local) == localPort;
}

void silence(uv_handle_t *handle, void *localPort)
{
    uv_os_fd_t socket = -1;
    if (uv_fileno(handle, &socket) == 0 && isConnectedAt(socket, *static_cast<const std::uint16_t *>(localPort))) {
        dropIncoming(socket);
    }
}

} // namespace

void silenceConnections(EventLoop &loop, std::uint16_t localPort)
{
    uv_walk(loop.handle(), silence, &localPort);
}

} // namespace nutmeghinge
