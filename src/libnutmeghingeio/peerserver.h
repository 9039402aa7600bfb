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

class EventLoop;

/**
 * Takes the connections of other nodes and hands over their control messages.
 * Closes the connection that was idle longest when too many are open. Must be
 * destroyed outside of the message function.
 */
class PeerServer : private kj::TaskSet::ErrorHandler
{
public:
    using MessageFunction = std::function<void(PeerMessageArrived)>;

    PeerServer(EventLoop &loop, std::uint64_t &bytesSent, MessageFunction messages);
    ~PeerServer() noexcept(false);
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /** Opens the listener; port 0 takes a free one. Returns the endpoint in use. */
    std::variant<Endpoint, ListenFault> listen(const Endpoint &endpoint);
    void close();
    /** Closes connections without a byte received for the idle timeout. */
    void closeIdle(MonotonicTime now);

private:
    class Connection;

    static void connectionWaiting(uv_stream_t *listener, int status);

    void acceptConnection();
    void closeLongestIdle();
    void remove(Connection *connection);
    void taskFailed(kj::Exception &&exception) override;

    EventLoop &m_loop;
    std::uint64_t &m_bytesSent;
    MessageFunction m_messages;
    capnp::Capability::Client m_peerControl;
    /** On the heap, since uv closes it after this object is gone. */
    uv_tcp_t *m_listener = nullptr;
    std::list<std::unique_ptr<Connection>> m_connections;
    std::unique_ptr<kj::TaskSet> m_tasks;
};

} // namespace nutmeghinge
