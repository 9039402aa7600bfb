#pragma once

#include "clientlimits.h"
#include "effects.h"
#include "endpoint.h"
#include "events.h"
#include "httpserver.h"

#include <functional>
#include <memory>
#include <variant>

namespace nutmeghinge {

class EventLoop;
struct ByteCounts;

/**
 * Exchanges control messages with other nodes by Cap'n Proto RPC on the uv loop.
 * Keeps one connection to each peer: it is opened on first use and replaced when
 * it fails or the peer stops answering. Messages may be lost meanwhile. Borrows
 * the loop.
 */
class PeerLink
{
public:
    using MessageFunction = std::function<void(PeerMessageArrived)>;

    /** limits: of the connections of other nodes, and of the memory for messages that they send. traffic: counts the bytes of all connections; null for none.
     */
    PeerLink(EventLoop &loop, MessageFunction messages, ClientLimits limits = {}, ByteCounts *traffic = nullptr);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /** Opens the listener; port 0 selects a free port. Returns the endpoint in use. */
    std::variant<Endpoint, ListenError> listen(const Endpoint &endpoint);
    /** Sends the message, or drops it if it is too large or the peer is unreachable or does not keep up. */
    void send(const SendPeerMessage &effect);
    /** Closes the listener and all connections from a later event. Later messages are dropped. */
    void close();
    /** Returns the number of bytes sent on all connections since the start. */
    std::uint64_t bytesSent() const;
    /** Returns the number of messages sent since the start. */
    std::uint64_t messagesSent() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace nutmeghinge
