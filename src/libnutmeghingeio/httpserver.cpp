#include "httpserver.h"

#include "connectionbudget.h"
#include "eventloop.h"
#include "httpserverexchange.h"
#include "loglimiter.h"
#include "memorycharge.h"
#include "pendingconnections.h"
#include "receivedbytes.h"
#include "requestframing.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstring>
#include <netinet/tcp.h>
#include <unistd.h>
#include <unordered_map>
#include <unordered_set>

namespace nutmeghinge {

namespace {

constexpr int listenBacklog = 1024;
constexpr int http2Version = 0x200;
/** Time for which sent data may stay unacknowledged before the connection is closed. */
constexpr int acknowledgementTimeoutMs = 60000;
/** Delay between the start of a shutdown and the closing of idle connections; a request sent in this time still gets an answer that announces the close. */
constexpr std::uint64_t idleGraceMs = 250;
constexpr std::uint64_t idleCheckIntervalMs = 50;
constexpr int drainIterations = 64;
constexpr std::uint32_t loggedRefusalsPerSecond = 10;
/** Descriptors of a connection: its socket, and a copy to watch it. */
constexpr std::size_t descriptorsOfConnection = 2;
/** Memory that a connection takes beside its input, in bytes. */
constexpr std::size_t connectionBytes = 8192;
/** Interval at which the received bytes of HTTP/2 connections are counted, which takes a system call each. */
constexpr Duration http2CountInterval = std::chrono::milliseconds(5);
/** A request that is being received makes progress if this many bytes arrive. */
constexpr std::uint64_t progressBytes = 16384;
/** h2o doubles the buffer of an HTTP/2 body and copies it, so that it takes up to this many times the bytes received. */
constexpr std::uint64_t http2BufferFactor = 3;
/** Most bytes of the head and framing of one HTTP/2 request. */
constexpr std::uint64_t http2OverheadBytes = 1024;

std::variant<Endpoint, ListenError> boundEndpoint(const uv_tcp_t *listener, const Endpoint &requested)
{
    sockaddr_storage address{};
    int size = sizeof(address);
    const int result = uv_tcp_getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size);
    if (result != 0) {
        return ListenError{requested, uv_strerror(result)};
    }
    return Endpoint{requested.address, static_cast<std::uint16_t>(h2o_socket_getport(reinterpret_cast<sockaddr *>(&address)))};
}

void setSocketOptions(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &acknowledgementTimeoutMs, sizeof(acknowledgementTimeoutMs));
}

void releaseStream(uv_handle_t *handle)
{
    delete reinterpret_cast<uv_tcp_t *>(handle);
}

bool isUpgradedFromHttp1(const h2o_req_t &request)
{
    return request.version >= http2Version && h2o_find_header_by_str(&request.headers, H2O_STRLIT("http2-settings"), -1) != -1;
}

/** Returns whether the length of the request body is unambiguous. */
bool isWellFramed(h2o_req_t &request)
{
    if (isUpgradedFromHttp1(request)) {
        // The HTTP/1 head, which determined the length of the body, is no longer available, so a body is refused.
        return request.entity.base == nullptr;
    }
    if (request.version >= http2Version) {
        return true;
    }
    const h2o_buffer_t *input = request.conn->callbacks->get_socket(request.conn)->input;
    return hasSingleFraming({input->bytes, input->size});
}

} // namespace

struct HttpServer::Private {
    /** A client's connection. The watch detects that the client has closed it, which h2o does not notice while a request is in progress. */
    struct Connection final : public ConnectionBudget::Holder {
        Connection(Private *usedServer, MonotonicTime now)
            : server(usedServer)
            , memory(usedServer->options.limits.memory, now)
            , idleSinceTime(now)
        {
        }

        bool isClosable() const override { return running.empty() && h2o_socket_is_writing(socket) == 0; }
        bool hasServed() const override { return served; }
        MonotonicTime idleSince() const override { return idleSinceTime; }
        void closeForRoom() override { end(); }

        bool usesHttp2() const;
        /** Returns the bytes that the client has sent over HTTP/2 so far. */
        std::uint64_t countHttp2Bytes();
        /** Returns the bytes that h2o keeps of requests that have not been received completely. */
        std::uint64_t inputBytes();
        /** Frees the memory of unfinished requests by ending the connection, unless it serves an HTTP/1 request. */
        void reclaim();
        /** Shuts the socket down; h2o then closes the connection. */
        void end();

        Private *server = nullptr;
        h2o_socket_t *socket = nullptr;
        uv_poll_t *watch = nullptr;
        int watchedDescriptor = -1;
        bool isHttp2 = false;
        bool clientDisconnected = false;
        std::unordered_set<HttpServerExchange *> running;
        MemoryCharge memory;
        MonotonicTime idleSinceTime;
        bool served = false;
        bool ending = false;
        /** Bytes kept when they last counted as progress. */
        std::uint64_t progressAt = 0;
        /** Bytes received over HTTP/2: all so far, those up to the last request, and those of requests that were handled. */
        std::uint64_t http2Bytes = 0;
        std::uint64_t http2BytesAtRequest = 0;
        std::uint64_t http2BytesHandled = 0;
    };
    struct RequestHandler {
        h2o_handler_t super;
        Private *server;
    };

    Private(EventLoop &usedLoop, Options usedOptions, Handler usedHandler);
    ~Private();
    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    void acceptConnection();
    void acceptPending();
    void addConnection(uv_tcp_t *stream);
    void watchConnection(Connection &connection);
    void onClientClosed(Connection &connection);
    void onConnectionClosed(Connection &connection);
    int handle(h2o_req_t &request);
    void refuse(h2o_req_t &request, const char *reason);
    void refuseForMemory(h2o_req_t &request);
    void logRefusal(std::string_view reason);
    /** Charges what all connections hold. Runs once in each iteration of the loop, after the sockets were read. */
    void chargeInput();
    void chargeInput(Connection &connection);
    /** Notes that the bytes of the request are no longer those of an unfinished one. */
    void subtractRequest(Connection &connection, const h2o_req_t &request);
    void closeIdle();
    void stopListening();
    void finishShutdown();

    EventLoop &loop;
    Options options;
    Handler handler;
    h2o_globalconf_t config{};
    h2o_context_t context{};
    h2o_accept_ctx_t acceptContext{};
    uv_tcp_t *listener = nullptr;
    uv_timer_t *idleCheck = nullptr;
    uv_check_t *inputCheck = nullptr;
    MonotonicTime http2CountedAt;
    LogLimiter refusalLog{loggedRefusalsPerSecond};
    /** Callbacks of h2o's HTTP/1 connections, which tell them from HTTP/2 connections. */
    const h2o_conn_callbacks_t *http1Callbacks = nullptr;
    std::unordered_map<h2o_socket_t *, std::unique_ptr<Connection>> connections;
    std::function<void()> shutdownFinished;
    bool announcesClose = false;
    bool destroying = false;
};

HttpServer::Private::Private(EventLoop &usedLoop, Options usedOptions, Handler usedHandler)
    : loop(usedLoop)
    , options(std::move(usedOptions))
    , handler(std::move(usedHandler))
{
    h2o_config_init(&config);
    config.max_request_entity_size = options.bodyLimit;
    config.http1.req_timeout = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(options.idleTimeout).count());
    // Keeps the Server header that the target sent.
    config.server_name = h2o_iovec_init(nullptr, 0);
    h2o_hostconf_t *host = h2o_config_register_host(&config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
    auto *requestHandler = reinterpret_cast<RequestHandler *>(h2o_create_handler(path, sizeof(RequestHandler)));
    requestHandler->server = this;
    requestHandler->super.on_req = [](h2o_handler_t *self, h2o_req_t *request) { return reinterpret_cast<RequestHandler *>(self)->server->handle(*request); };
    h2o_context_init(&context, loop.handle(), &config);
    acceptContext.ctx = &context;
    acceptContext.hosts = config.hosts;
    idleCheck = new uv_timer_t;
    uv_timer_init(loop.handle(), idleCheck);
    idleCheck->data = this;
    inputCheck = new uv_check_t;
    uv_check_init(loop.handle(), inputCheck);
    inputCheck->data = this;
    uv_check_start(inputCheck, [](uv_check_t *check) { static_cast<Private *>(check->data)->chargeInput(); });
    // The check alone does not keep the loop running.
    uv_unref(reinterpret_cast<uv_handle_t *>(inputCheck));
}

HttpServer::Private::~Private()
{
    destroying = true;
    stopListening();
    uv_close(reinterpret_cast<uv_handle_t *>(idleCheck), [](uv_handle_t *handle) { delete reinterpret_cast<uv_timer_t *>(handle); });
    uv_close(reinterpret_cast<uv_handle_t *>(inputCheck), [](uv_handle_t *handle) { delete reinterpret_cast<uv_check_t *>(handle); });
    for (auto &[socket, connection] : connections) {
        const std::unordered_set<HttpServerExchange *> running = connection->running;
        shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
        for (HttpServerExchange *exchange : running) {
            exchange->setClosedFunction(nullptr);
            exchange->reset();
        }
    }
    for (int iteration = 0; iteration < drainIterations && !connections.empty(); ++iteration) {
        uv_run(loop.handle(), UV_RUN_NOWAIT);
    }
    if (h2o_timeout_is_linked(&context.http2._graceful_shutdown_timeout)) {
        h2o_timeout_unlink(&context.http2._graceful_shutdown_timeout);
    }
    h2o_context_dispose(&context);
    // The context contains its timers; the loop needs one iteration to close them.
    uv_run(loop.handle(), UV_RUN_NOWAIT);
    h2o_config_dispose(&config);
}

void HttpServer::Private::acceptConnection()
{
    auto *stream = new uv_tcp_t;
    uv_tcp_init(loop.handle(), stream);
    const bool hasRoom = options.limits.connections == nullptr || options.limits.connections->makeRoom(descriptorsOfConnection);
    if (uv_accept(reinterpret_cast<uv_stream_t *>(listener), reinterpret_cast<uv_stream_t *>(stream)) != 0) {
        uv_close(reinterpret_cast<uv_handle_t *>(stream), releaseStream);
        return;
    }
    if (!hasRoom) {
        logRefusal("no descriptor is left for a connection");
        uv_close(reinterpret_cast<uv_handle_t *>(stream), releaseStream);
        return;
    }
    addConnection(stream);
}

void HttpServer::Private::acceptPending()
{
    if (listener == nullptr) {
        return;
    }
    for (const uv_os_sock_t socket : takePendingConnections(listener)) {
        auto *stream = new uv_tcp_t;
        uv_tcp_init(loop.handle(), stream);
        if (uv_tcp_open(stream, socket) != 0) {
            ::close(socket);
            uv_close(reinterpret_cast<uv_handle_t *>(stream), releaseStream);
            continue;
        }
        addConnection(stream);
    }
}

void HttpServer::Private::addConnection(uv_tcp_t *stream)
{
    auto connection = std::make_unique<Connection>(this, loop.now());
    connection->socket = h2o_uv_socket_create(reinterpret_cast<uv_stream_t *>(stream), releaseStream);
    connection->socket->on_close.cb = [](void *data) {
        auto *closed = static_cast<Connection *>(data);
        closed->server->onConnectionClosed(*closed);
    };
    connection->socket->on_close.data = connection.get();
    setSocketOptions(h2o_socket_get_fd(connection->socket));
    watchConnection(*connection);
    h2o_socket_t *socket = connection->socket;
    Connection &added = *connections.emplace(socket, std::move(connection)).first->second;
    if (options.limits.connections != nullptr) {
        options.limits.connections->add(added, descriptorsOfConnection);
    }
    added.memory.setReclaimFunction([&added] { added.reclaim(); });
    h2o_accept(&acceptContext, socket);
    http1Callbacks = static_cast<h2o_conn_t *>(socket->data)->callbacks;
    chargeInput(added);
}

void HttpServer::Private::watchConnection(Connection &connection)
{
    connection.watchedDescriptor = dup(h2o_socket_get_fd(connection.socket));
    if (connection.watchedDescriptor < 0) {
        spdlog::warn("{} listener: no file descriptor is left to watch a client connection; a close by the client will be detected late", options.name);
        return;
    }
    connection.watch = new uv_poll_t;
    uv_poll_init(loop.handle(), connection.watch, connection.watchedDescriptor);
    connection.watch->data = &connection;
    uv_poll_start(connection.watch, UV_DISCONNECT, [](uv_poll_t *watch, int, int) {
        auto *closed = static_cast<Connection *>(watch->data);
        closed->server->onClientClosed(*closed);
    });
}

void HttpServer::Private::onClientClosed(Connection &connection)
{
    uv_poll_stop(connection.watch);
    connection.clientDisconnected = true;
    if (connection.isHttp2) {
        return;
    }
    const std::unordered_set<HttpServerExchange *> running = connection.running;
    for (HttpServerExchange *exchange : running) {
        exchange->onClientDisconnected();
    }
}

void HttpServer::Private::onConnectionClosed(Connection &connection)
{
    if (connection.watch != nullptr) {
        uv_close(reinterpret_cast<uv_handle_t *>(connection.watch), [](uv_handle_t *handle) { delete reinterpret_cast<uv_poll_t *>(handle); });
        ::close(connection.watchedDescriptor);
    }
    if (options.limits.connections != nullptr) {
        options.limits.connections->remove(connection);
    }
    connections.erase(connection.socket);
    if (connections.empty() && !destroying) {
        finishShutdown();
    }
}

bool HttpServer::Private::Connection::usesHttp2() const
{
    return socket->data != nullptr && static_cast<const h2o_conn_t *>(socket->data)->callbacks != server->http1Callbacks;
}

std::uint64_t HttpServer::Private::Connection::countHttp2Bytes()
{
    http2Bytes = receivedBytes(h2o_socket_get_fd(socket)).value_or(http2Bytes);
    return http2Bytes;
}

std::uint64_t HttpServer::Private::Connection::inputBytes()
{
    if (!usesHttp2()) {
        return socket->input->capacity;
    }
    return http2BufferFactor * (countHttp2Bytes() - std::min(http2Bytes, http2BytesHandled));
}

void HttpServer::Private::Connection::reclaim()
{
    if (running.empty() || usesHttp2()) {
        server->logRefusal("there is no memory for the request");
        end();
    }
}

void HttpServer::Private::Connection::end()
{
    if (!ending) {
        ending = true;
        memory.release();
        shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
    }
}

void HttpServer::Private::chargeInput()
{
    if (options.limits.memory == nullptr) {
        return;
    }
    const MonotonicTime now = loop.now();
    const bool countsHttp2 = now - http2CountedAt >= http2CountInterval;
    for (const auto &[socket, connection] : connections) {
        if (!connection->ending && (countsHttp2 || !connection->usesHttp2())) {
            chargeInput(*connection);
        }
    }
    http2CountedAt = countsHttp2 ? now : http2CountedAt;
}

void HttpServer::Private::chargeInput(Connection &connection)
{
    const std::uint64_t held = connection.inputBytes();
    const std::uint64_t received = connection.usesHttp2() ? held : connection.socket->input->size;
    if (received < connection.progressAt || received - connection.progressAt >= progressBytes) {
        connection.progressAt = received;
        connection.memory.recordProgress(loop.now());
    }
    if (!connection.memory.resize(connectionBytes + held, loop.now())) {
        connection.reclaim();
    }
}

void HttpServer::Private::subtractRequest(Connection &connection, const h2o_req_t &request)
{
    if (!connection.usesHttp2()) {
        return;
    }
    const std::uint64_t sinceLast = connection.countHttp2Bytes() - connection.http2BytesAtRequest;
    const std::uint64_t overhead = sinceLast - std::min<std::uint64_t>(sinceLast, request.entity.len);
    connection.http2BytesHandled += request.entity.len + std::min(overhead, http2OverheadBytes);
    connection.http2BytesAtRequest = connection.http2Bytes;
}

void HttpServer::Private::logRefusal(std::string_view reason)
{
    if (refusalLog.admit(loop.now())) {
        spdlog::warn("{} listener refused a request: {}; {} more were refused before", options.name, reason, refusalLog.takeSuppressed(loop.now()));
    }
}

void HttpServer::Private::refuse(h2o_req_t &request, const char *reason)
{
    logRefusal(std::string_view(reason, std::strlen(reason) - 1));
    request.http1_is_persistent = 0;
    h2o_send_error_400(&request, "Bad Request", reason, 0);
}

void HttpServer::Private::refuseForMemory(h2o_req_t &request)
{
    logRefusal("there is no memory for the request");
    for (const auto &[name, value] : options.unavailableHeaders) {
        const h2o_iovec_t ownName = h2o_strdup(&request.pool, name.data(), name.size());
        const h2o_iovec_t ownValue = h2o_strdup(&request.pool, value.data(), value.size());
        h2o_add_header_by_str(&request.pool, &request.res.headers, ownName.base, ownName.len, 1, nullptr, ownValue.base, ownValue.len);
    }
    h2o_send_error_503(&request, "Service Unavailable", "there is no memory for the request\n", H2O_SEND_ERROR_KEEP_HEADERS);
}

int HttpServer::Private::handle(h2o_req_t &request)
{
    h2o_socket_t *socket = request.conn->callbacks->get_socket(request.conn);
    Connection &connection = *connections.at(socket);
    connection.isHttp2 = request.version >= http2Version;
    if (!isWellFramed(request)) {
        refuse(request, "the framing of the request is ambiguous\n");
        return 0;
    }
    if (announcesClose && !connection.isHttp2) {
        request.http1_is_persistent = 0;
    }
    connection.served = true;
    subtractRequest(connection, request);
    connection.memory.restart(loop.now());
    const auto charge = std::make_shared<MemoryCharge>(options.limits.memory, loop.now());
    if (!charge->resize(connectionBytes + request.entity.len, loop.now())) {
        refuseForMemory(request);
        return 0;
    }
    const std::shared_ptr<HttpServerExchange> exchange = HttpServerExchange::create(request, charge);
    if (!isWritableAsHttp1(exchange->request())) {
        refuse(request, "the request head contains forbidden characters\n");
        return 0;
    }
    HttpServerExchange *key = exchange.get();
    connection.running.insert(key);
    exchange->setEndedFunction([this, socket, key] {
        if (const auto found = connections.find(socket); found != connections.end()) {
            found->second->running.erase(key);
            found->second->idleSinceTime = loop.now();
        }
    });
    if (destroying || (connection.clientDisconnected && !connection.isHttp2)) {
        exchange->reset();
        return 0;
    }
    handler(exchange);
    return 0;
}

void HttpServer::Private::closeIdle()
{
    for (auto &[socket, connection] : connections) {
        if (connection->isHttp2 || !connection->running.empty() || socket->input->size != 0) {
            continue;
        }
        // A request that is already in the socket's receive buffer is still read and answered.
        if (connection->watch != nullptr) {
            uv_poll_stop(connection->watch);
        }
        shutdown(h2o_socket_get_fd(socket), SHUT_RD);
    }
}

void HttpServer::Private::stopListening()
{
    if (listener == nullptr) {
        return;
    }
    uv_close(reinterpret_cast<uv_handle_t *>(listener), [](uv_handle_t *handle) { delete reinterpret_cast<uv_tcp_t *>(handle); });
    listener = nullptr;
}

void HttpServer::Private::finishShutdown()
{
    if (!shutdownFinished) {
        return;
    }
    uv_timer_stop(idleCheck);
    const std::function<void()> finished = std::exchange(shutdownFinished, nullptr);
    finished();
}

HttpServer::HttpServer(EventLoop &loop, Options options, Handler handler)
    : m_d(std::make_unique<Private>(loop, std::move(options), std::move(handler)))
{
}

HttpServer::~HttpServer() = default;

std::variant<Endpoint, ListenError> HttpServer::listen(const Endpoint &endpoint)
{
    sockaddr_storage address{};
    if (uv_ip4_addr(endpoint.address.c_str(), endpoint.port, reinterpret_cast<sockaddr_in *>(&address)) != 0
        && uv_ip6_addr(endpoint.address.c_str(), endpoint.port, reinterpret_cast<sockaddr_in6 *>(&address)) != 0) {
        return ListenError{endpoint, "the address is not an IP address"};
    }
    m_d->listener = new uv_tcp_t;
    uv_tcp_init(m_d->loop.handle(), m_d->listener);
    m_d->listener->data = m_d.get();
    int result = uv_tcp_bind(m_d->listener, reinterpret_cast<sockaddr *>(&address), 0);
    if (result == 0) {
        result = uv_listen(reinterpret_cast<uv_stream_t *>(m_d->listener), listenBacklog, [](uv_stream_t *stream, int status) {
            if (status == 0) {
                static_cast<Private *>(stream->data)->acceptConnection();
            }
        });
    }
    if (result != 0) {
        m_d->stopListening();
        return ListenError{endpoint, uv_strerror(result)};
    }
    return boundEndpoint(m_d->listener, endpoint);
}

void HttpServer::announceClose()
{
    m_d->announcesClose = true;
}

void HttpServer::shutDown(std::function<void()> closed)
{
    m_d->acceptPending();
    m_d->stopListening();
    m_d->shutdownFinished = std::move(closed);
    h2o_context_request_shutdown(&m_d->context);
    uv_timer_start(
        m_d->idleCheck,
        [](uv_timer_t *timer) {
            auto *server = static_cast<Private *>(timer->data);
            server->closeIdle();
            if (server->connections.empty()) {
                server->finishShutdown();
            }
        },
        m_d->connections.empty() ? 0 : idleGraceMs,
        idleCheckIntervalMs);
}

std::size_t HttpServer::openConnections() const
{
    return m_d->connections.size();
}

std::uint64_t HttpServer::refusedInputs() const
{
    return m_d->context.emitted_error_status[H2O_STATUS_ERROR_400] + m_d->context.emitted_error_status[H2O_STATUS_ERROR_413];
}

} // namespace nutmeghinge
