#include "peerserver.h"

#include "connectionbudget.h"
#include "eventloop.h"
#include "peerlimits.h"
#include "socketaddress.h"
#include "uvasyncstream.h"

#include <algorithm>
#include <capnp/rpc-twoparty.h>
#include <memory>
#include <spdlog/spdlog.h>

namespace nutmeghinge {

namespace {

constexpr int listenBacklog = 128;
/** Share of the descriptors of connections that control connections may take. */
constexpr std::uint64_t descriptorShareDivisor = 4;

/** Implements the RPC interface that peers call. */
class PeerControlService final : public wire::PeerControl::Server
{
public:
    explicit PeerControlService(PeerServer::MessageFunction messages)
        : m_messages(std::move(messages))
    {
    }

protected:
    kj::Promise<void> deliver(DeliverContext context) override
    {
        auto result = PeerMessageCodec::read(context.getParams());
        context.releaseParams();
        if (const auto *error = std::get_if<PeerMessageError>(&result)) {
            spdlog::warn("rejected a control message from a peer: {}", error->reason);
            return kj::Exception(kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::str(error->reason.c_str()));
        }
        m_messages(std::get<PeerMessageArrived>(std::move(result)));
        return kj::READY_NOW;
    }

private:
    PeerServer::MessageFunction m_messages;
};

} // namespace

/** One incoming connection from a peer. */
class PeerServer::Connection
{
public:
    Connection(kj::Own<UvAsyncStream> stream, capnp::Capability::Client peerControl, MonotonicTime now, ClientLimits limits)
        : m_budget(limits.connections)
        , m_stream(kj::mv(stream))
        , m_network(*m_stream, capnp::rpc::twoparty::Side::SERVER, peerlimits::readerOptions())
        , m_rpc(capnp::makeRpcServer(m_network, kj::mv(peerControl)))
        , m_lastReceived(now)
    {
        if (limits.memory != nullptr) {
            m_stream->setMemoryBudget(limits.memory);
        }
        if (m_budget != nullptr) {
            m_budget->addOwn();
        }
    }
    ~Connection()
    {
        if (m_budget != nullptr) {
            m_budget->removeOwn();
        }
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    kj::Promise<void> onDisconnect() { return m_network.onDisconnect(); }
    /** Returns whether a disconnected connection was closed on invalid input, not by the peer. */
    bool closedOnInvalidInput() const { return !m_stream->hasEnded(); }
    bool isOutOfMemory() const { return m_stream->isOutOfMemory(); }
    Endpoint peer() const { return m_stream->remoteEndpoint(); }

    /** Returns the time of the last call of this function that found new bytes received. */
    MonotonicTime lastReceived(MonotonicTime now)
    {
        if (m_stream->bytesReceived() != m_bytesSeen) {
            m_bytesSeen = m_stream->bytesReceived();
            m_lastReceived = now;
        }
        return m_lastReceived;
    }

private:
    ConnectionBudget *m_budget;
    kj::Own<UvAsyncStream> m_stream;
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
    std::uint64_t m_bytesSeen = 0;
    MonotonicTime m_lastReceived;
};

PeerServer::PeerServer(EventLoop &loop, ByteCounts &traffic, MessageFunction messages, ClientLimits limits)
    : m_loop(loop)
    , m_traffic(traffic)
    , m_limits(limits)
    , m_maxConnections(limits.connections == nullptr
                           ? peerlimits::incomingConnections
                           : std::clamp<std::size_t>(limits.connections->limit() / descriptorShareDivisor, 1, peerlimits::incomingConnections))
    , m_peerControl(kj::heap<PeerControlService>(std::move(messages)))
    , m_tasks(new kj::TaskSet(*this))
{
}

PeerServer::~PeerServer() noexcept(false)
{
    close();
}

std::variant<Endpoint, ListenError> PeerServer::listen(const Endpoint &endpoint)
{
    const std::optional<SocketAddress> address = SocketAddress::fromEndpoint(endpoint);
    if (!address) {
        return ListenError{endpoint, "the address is not an IP address"};
    }
    close();
    m_listener = new uv_tcp_t;
    uv_tcp_init(m_loop.handle(), m_listener);
    m_listener->data = this;
    int result = uv_tcp_bind(m_listener, address->data(), 0);
    if (result == 0) {
        result = uv_listen(reinterpret_cast<uv_stream_t *>(m_listener), listenBacklog, onConnection);
    }
    if (result != 0) {
        close();
        return ListenError{endpoint, uv_strerror(result)};
    }
    return SocketAddress::localEndpoint(m_listener);
}

void PeerServer::close()
{
    m_tasks.reset(new kj::TaskSet(*this));
    m_connections.clear();
    if (m_listener != nullptr) {
        uv_close(reinterpret_cast<uv_handle_t *>(m_listener), [](uv_handle_t *handle) { delete reinterpret_cast<uv_tcp_t *>(handle); });
        m_listener = nullptr;
    }
}

void PeerServer::onConnection(uv_stream_t *listener, int status)
{
    if (status == 0) {
        static_cast<PeerServer *>(listener->data)->acceptConnection();
    }
}

void PeerServer::acceptConnection()
{
    if (m_connections.size() >= m_maxConnections) {
        closeLongestIdle();
    }
    auto accepted = UvAsyncStream::accept(m_loop, reinterpret_cast<uv_stream_t *>(m_listener), m_traffic);
    KJ_IF_MAYBE (stream, accepted) {
        m_connections.push_back(std::make_unique<Connection>(kj::mv(*stream), m_peerControl, m_loop.now(), m_limits));
        Connection *connection = m_connections.back().get();
        // The connection must not be destroyed from within its own event.
        m_tasks->add(connection->onDisconnect().then([this, connection] { m_tasks->add(kj::evalLater([this, connection] { remove(connection); })); }));
    }
}

void PeerServer::closeLongestIdle()
{
    const MonotonicTime now = m_loop.now();
    const auto earlier = [now](const auto &left, const auto &right) { return left->lastReceived(now) < right->lastReceived(now); };
    m_connections.erase(std::min_element(m_connections.begin(), m_connections.end(), earlier));
}

void PeerServer::closeIdle(MonotonicTime now)
{
    m_connections.remove_if([now](const auto &connection) { return now - connection->lastReceived(now) >= peerlimits::idleTimeout; });
}

void PeerServer::remove(Connection *connection)
{
    const auto found = std::find_if(m_connections.begin(), m_connections.end(), [connection](const auto &entry) { return entry.get() == connection; });
    if (found == m_connections.end()) {
        return;
    }
    if (connection->closedOnInvalidInput()) {
        const Endpoint peer = connection->peer();
        spdlog::warn("closed the control connection from peer {}:{}: its input is invalid", peer.address, peer.port);
    }
    if (connection->isOutOfMemory() && m_refusalLog.admit(m_loop.now())) {
        spdlog::warn("closed a control connection: there is no memory for its message; {} more were closed before", m_refusalLog.takeSuppressed(m_loop.now()));
    }
    m_connections.erase(found);
}

void PeerServer::taskFailed(kj::Exception &&exception)
{
    spdlog::warn("control connection from a peer failed: {}", exception.getDescription().cStr());
}

} // namespace nutmeghinge
