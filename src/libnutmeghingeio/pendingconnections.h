#pragma once

#include <uv.h>

#include <vector>

namespace nutmeghinge {

/**
 * Accepts all connections that clients have established and the listener has not
 * accepted yet, and returns their non-blocking sockets, which the caller owns.
 * Closing the listener without this would reset them, although their clients may
 * have sent a request already.
 */
std::vector<uv_os_sock_t> takePendingConnections(const uv_tcp_t *listener);

} // namespace nutmeghinge
