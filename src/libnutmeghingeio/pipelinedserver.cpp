#include "pipelinedserver.h"

#include "connectionbudget.h"
#include "eventloop.h"
#include "loglimiter.h"
#include "pendingconnections.h"
#include "pipelinedconnection.h"
#include "socketaddress.h"

#include <spdlog/spdlog.h>
#include <unordered_map>

namespace nutmeghinge {

namespace {

constexpr int listenBacklog = 1024;
/** Time without a byte after which a shutdown does not wait for the rest of a request. */
constexpr Duration stallTime = std::chrono::seconds(1);
constexpr std::uint32_t loggedRefusalsPerSecond = 10;
/** Delay between the start of a shutdown and the closing of idle connections; a request sent in this time still gets an answer that announces the close. */
constexpr Duration idleGrace = std::chrono::milliseconds(250);

} // namespace

struct PipelinedServer::Private : public PipelinedConnection::Owner {
    Private(EventLoop &usedLoop, Options usedOptions, Handler usedHandler)
        : loop(usedLoop)
        , options(std::move(usedOptions))
        , handler(std::move(usedHandler))
    {
    }

    void onRequest(std::shared_ptr<HttpExchange> exchange) override { handler(std::move(exchange)); }
    void onRequestRefused(const char *reason) override
    {
        ++refused;
        if (refusalLog.admit(loop.now())) {
            spdlog::warn("{} listener refused a request: {}; {} more were refused before", options.name, reason, refusalLog.takeSuppressed(loop.now()));
        }
    }
    void onConnectionClosed(PipelinedConnection &connection) override
    {
        connections.erase(&connection);
        finishShutdownIfClosed();
    }

    void accept();
    void acceptPending();
    void stopListening();
    void finishShutdownIfClosed();
    std::shared_ptr<PipelinedConnection> makeConnection();
    /** Refuses unfinished requests whose clients send nothing, until all connections are closed. */
    void refuseStalledLater();

    EventLoop &loop;
    Options options;
    Handler handler;
    uv_tcp_t *listener = nullptr;
    std::unordered_map<PipelinedConnection *, std::shared_ptr<PipelinedConnection>> connections;
    std::function<void()> shutdownFinished;
    std::uint64_t refused = 0;
    LogLimiter refusalLog{loggedRefusalsPerSecond};
    bool announcesClose = false;
    bool shuttingDown = false;
    /** Expires with the server; lets functions that the loop calls later detect its destruction. */
    std::shared_ptr<void> alive = std::make_shared<char>();
};

std::shared_ptr<PipelinedConnection> PipelinedServer::Private::makeConnection()
{
    auto connection = std::make_shared<PipelinedConnection>(loop, *this, options);
    if (announcesClose) {
        connection->announceClose();
    }
    return connection;
}

void PipelinedServer::Private::accept()
{
    const std::shared_ptr<PipelinedConnection> connection = makeConnection();
    const bool hasRoom = options.limits.connections == nullptr || options.limits.connections->makeRoom();
    if (connection->accept(reinterpret_cast<uv_stream_t *>(listener))) {
        connections.emplace(connection.get(), connection);
        if (!hasRoom) {
            onRequestRefused("no descriptor is left for a connection");
            connection->abort();
        }
    }
}

void PipelinedServer::Private::acceptPending()
{
    if (listener == nullptr) {
        return;
    }
    for (const uv_os_sock_t socket : takePendingConnections(listener)) {
        const std::shared_ptr<PipelinedConnection> connection = makeConnection();
        if (connection->adopt(socket)) {
            connections.emplace(connection.get(), connection);
        }
    }
}

void PipelinedServer::Private::stopListening()
{
    if (listener != nullptr) {
        uv_close(reinterpret_cast<uv_handle_t *>(listener), [](uv_handle_t *handle) { delete reinterpret_cast<uv_tcp_t *>(handle); });
        listener = nullptr;
    }
}

void PipelinedServer::Private::finishShutdownIfClosed()
{
    if (shuttingDown && connections.empty() && shutdownFinished) {
        const std::function<void()> finished = std::exchange(shutdownFinished, nullptr);
        finished();
    }
}

void PipelinedServer::Private::refuseStalledLater()
{
    if (connections.empty()) {
        return;
    }
    loop.callLater(idleGrace, [this, exists = std::weak_ptr<void>(alive)] {
        if (exists.expired()) {
            return;
        }
        const auto open = connections;
        for (const auto &[key, connection] : open) {
            connection->refuseStalled(stallTime);
        }
        refuseStalledLater();
    });
}

PipelinedServer::PipelinedServer(EventLoop &loop, Options options, Handler handler)
    : m_d(std::make_unique<Private>(loop, std::move(options), std::move(handler)))
{
}

PipelinedServer::~PipelinedServer()
{
    m_d->stopListening();
    m_d->shutdownFinished = nullptr;
    const auto connections = m_d->connections;
    for (const auto &[key, connection] : connections) {
        connection->abort();
    }
    // The loop needs one iteration to release the closed handles.
    uv_run(m_d->loop.handle(), UV_RUN_NOWAIT);
}

std::variant<Endpoint, ListenError> PipelinedServer::listen(const Endpoint &endpoint)
{
    const std::optional<SocketAddress> address = SocketAddress::fromEndpoint(endpoint);
    if (!address) {
        return ListenError{endpoint, "the address is not an IP address"};
    }
    m_d->listener = new uv_tcp_t;
    uv_tcp_init(m_d->loop.handle(), m_d->listener);
    m_d->listener->data = m_d.get();
    int result = uv_tcp_bind(m_d->listener, address->data(), 0);
    if (result == 0) {
        result = uv_listen(reinterpret_cast<uv_stream_t *>(m_d->listener), listenBacklog, [](uv_stream_t *stream, int status) {
            if (status == 0) {
                static_cast<Private *>(stream->data)->accept();
            }
        });
    }
    if (result != 0) {
        m_d->stopListening();
        return ListenError{endpoint, uv_strerror(result)};
    }
    return SocketAddress::localEndpoint(m_d->listener);
}

void PipelinedServer::announceClose()
{
    m_d->announcesClose = true;
    for (const auto &[key, connection] : m_d->connections) {
        connection->announceClose();
    }
}

void PipelinedServer::shutDown(std::function<void()> closed)
{
    m_d->acceptPending();
    m_d->stopListening();
    m_d->shutdownFinished = std::move(closed);
    m_d->shuttingDown = true;
    const auto connections = m_d->connections;
    for (const auto &[key, connection] : connections) {
        connection->closeAfterAnswers();
    }
    m_d->loop.callLater(idleGrace, [this, exists = std::weak_ptr<void>(m_d->alive)] {
        if (exists.expired()) {
            return;
        }
        const auto idle = m_d->connections;
        for (const auto &[key, connection] : idle) {
            connection->closeIfIdle();
        }
        m_d->finishShutdownIfClosed();
        m_d->refuseStalledLater();
    });
}

std::size_t PipelinedServer::openConnections() const
{
    return m_d->connections.size();
}

std::uint64_t PipelinedServer::refusedInputs() const
{
    return m_d->refused;
}

} // namespace nutmeghinge
