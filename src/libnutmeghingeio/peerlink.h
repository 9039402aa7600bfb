#pragma once

#include "effects.h"
#include "endpoint.h"
#include "events.h"
#include "httpserver.h"

#include <functional>
#include <memory>
#include <variant>

namespace nutmeghinge {

class EventLoop;

/**
 * Control messages between nodes by Cap'n Proto RPC on the uv loop. One
 * connection to each peer, made on first use and made anew when it fails, stays
 * silent or answers nothing; messages may be lost meanwhile. Borrows the loop.
 */
class PeerLink
{
public:
    using MessageFunction = std::function<void(PeerMessageArrived)>;

    PeerLink(EventLoop &loop, MessageFunction messages);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /** Opens the listener; port 0 takes a free one. Returns the endpoint in use. */
    std::variant<Endpoint, ListenFault> listen(const Endpoint &endpoint);
    void send(const SendPeerMessage &effect);
    void close();
    /** Bytes sent on all connections since the start. */
    std::uint64_t bytesSent() const;
    std::uint64_t messagesSent() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace nutmeghinge
