#pragma once

#include "endpoint.h"
#include "events.h"
#include "httpserver.h"
#include "peermessagecodec.h"

#include <functional>
#include <kj/async.h>
#include <list>
#include <memory>
#include <variant>

#include <uv.h>

namespace nutmeghinge {

class ConnectionBudget;
class EventLoop;

/**
 * Accepts control connections from other nodes and passes on their messages.
 * When too many connections are open, the longest idle one is closed. Must not be
 * destroyed from within the message function.
 */
class PeerServer : private kj::TaskSet::ErrorHandler
{
public:
    using MessageFunction = std::function<void(PeerMessageArrived)>;

    /** @param bytesSent counter to which the bytes sent are added; outlives the server */
    /** budget: counts the connections, and bounds their number to a share of its limit; null for none. Must outlive the server. */
    PeerServer(EventLoop &loop, std::uint64_t &bytesSent, MessageFunction messages, ConnectionBudget *budget);
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
    std::uint64_t &m_bytesSent;
    MessageFunction m_messages;
    ConnectionBudget *m_budget;
    std::size_t m_maxConnections;
    capnp::Capability::Client m_peerControl;
    /** On the heap, since uv finishes closing it after this object is destroyed. */
    uv_tcp_t *m_listener = nullptr;
    std::list<std::unique_ptr<Connection>> m_connections;
    std::unique_ptr<kj::TaskSet> m_tasks;
};

} // namespace nutmeghinge
