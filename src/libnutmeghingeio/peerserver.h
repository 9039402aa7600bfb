#pragma once

#include "clientlimits.h"
#include "endpoint.h"
#include "events.h"
#include "httpserver.h"
#include "loglimiter.h"
#include "peermessagecodec.h"

#include <functional>
#include <kj/async.h>
#include <list>
#include <memory>
#include <variant>

#include <uv.h>

namespace nutmeghinge {

class EventLoop;
struct ByteCounts;

/**
 * Accepts control connections from other nodes and passes on their messages.
 * When too many connections are open, the longest idle one is closed. Must not be
 * destroyed from within the message function.
 */
class PeerServer : private kj::TaskSet::ErrorHandler
{
public:
    using MessageFunction = std::function<void(PeerMessageArrived)>;

    /**
     * traffic: counts the bytes sent and received; outlives the server. limits: the connections are counted, and their
     * number is bounded to a share of the limit; the memory is that for control messages alone.
     */
    PeerServer(EventLoop &loop, ByteCounts &traffic, MessageFunction messages, ClientLimits limits);
    ~PeerServer() noexcept(false);
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /** Opens the listener; port 0 selects a free port. Returns the endpoint in use. */
    std::variant<Endpoint, ListenError> listen(const Endpoint &endpoint);
    /** Closes the listener and all connections. */
    void close();
    /** Closes the connections that received nothing for the idle timeout. */
    void closeIdle(MonotonicTime now);

private:
    class Connection;

    static void onConnection(uv_stream_t *listener, int status);

    void acceptConnection();
    void closeLongestIdle();
    void remove(Connection *connection);
    void taskFailed(kj::Exception &&exception) override;

    EventLoop &m_loop;
    ByteCounts &m_traffic;
    MessageFunction m_messages;
    ClientLimits m_limits;
    std::size_t m_maxConnections;
    capnp::Capability::Client m_peerControl;
    /** On the heap, since uv finishes closing it after this object is destroyed. */
    uv_tcp_t *m_listener = nullptr;
    std::list<std::unique_ptr<Connection>> m_connections;
    std::unique_ptr<kj::TaskSet> m_tasks;
    LogLimiter m_refusalLog{1};
};

} // namespace nutmeghinge
