#include "pendingconnections.h"

#include <cerrno>
#include <cstring>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

namespace nutmeghinge {

std::vector<uv_os_sock_t> takePendingConnections(const uv_tcp_t *listener)
{
    std::vector<uv_os_sock_t> sockets;
    uv_os_fd_t descriptor = -1;
    if (uv_fileno(reinterpret_cast<const uv_handle_t *>(listener), &descriptor) != 0) {
        return sockets;
    }
    for (;;) {
        const int accepted = accept4(descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted >= 0) {
            sockets.push_back(accepted);
        } else if (errno != EINTR && errno != ECONNABORTED) {
            if (errno != EAGAIN && errno != EWOULDBLOCK) {
                spdlog::warn("connections that were waiting when a listener closed could not be accepted: {}", std::strerror(errno));
            }
            return sockets;
        }
    }
}

} // namespace nutmeghinge
