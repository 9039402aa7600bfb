#include "receivedbytes.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace nutmeghinge {

std::optional<std::uint64_t> receivedBytes(int descriptor)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return std::nullopt;
    }
    return info.tcpi_bytes_received;
}

} // namespace nutmeghinge
