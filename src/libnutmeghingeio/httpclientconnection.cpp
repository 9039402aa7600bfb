#include "httpclientconnection.h"

#include "eventloop.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace nutmeghinge {

namespace {

/** Time without an acknowledgement from the peer's kernel after which a connection counts as lost. */
constexpr int acknowledgementTimeoutMs = 3000;
constexpr int keepAliveIntervalS = 1;
constexpr std::size_t maxHeadBytes = 65536;
/** Number of requests whose answers may still come a second time. */
constexpr std::size_t rememberedAnswerIds = 8;
/** Shorter than the idle timeout of servers, so that a server rarely closes a connection just as a request is sent. */
constexpr Duration idleLifetime = std::chrono::seconds(5);

bool makeAddress(const Endpoint &endpoint, sockaddr_storage &address)
{
    if (uv_ip4_addr(endpoint.address.c_str(), endpoint.port, reinterpret_cast<sockaddr_in *>(&address)) == 0) {
        return true;
    }
    return uv_ip6_addr(endpoint.address.c_str(), endpoint.port, reinterpret_cast<sockaddr_in6 *>(&address)) == 0;
}

std::string formatHead(const HttpClientRequest &request)
{
    std::string head = request.method + ' ' + request.path + " HTTP/1.1\r\n";
    if (!findHeader(request.headers, "host")) {
        head += "host: " + request.to.address + ':' + std::to_string(request.to.port) + "\r\n";
    }
    for (const auto &[name, value] : request.headers) {
        head += name;
        head += ": ";
        head += value;
        head += "\r\n";
    }
    const std::size_t size = request.body.size();
    if (size != 0 || request.method == "POST" || request.method == "PUT" || request.method == "PATCH") {
        head += "content-length: " + std::to_string(size) + "\r\n";
    }
    return head + "\r\n";
}

void setTcpOption(int descriptor, int option, int value)
{
    setsockopt(descriptor, IPPROTO_TCP, option, &value, sizeof(value));
}

std::uint64_t millisecondsUntil(Duration duration)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, std::chrono::ceil<std::chrono::milliseconds>(duration).count()));
}

} // namespace

HttpClientConnection::HttpClientConnection(EventLoop &loop, Owner &owner)
    : m_loop(loop)
    , m_owner(owner)
{
    uv_tcp_init(loop.handle(), &m_socket);
    uv_timer_init(loop.handle(), &m_timer);
    m_socket.data = this;
    m_timer.data = this;
    m_connect.data = this;
    m_write.data = this;
}

bool HttpClientConnection::open(Exchange &exchange)
{
    sockaddr_storage address{};
    m_endpoint = exchange.request.to;
    const auto onConnect = [](uv_connect_t *request, int status) { static_cast<HttpClientConnection *>(request->data)->connected(status); };
    if (!makeAddress(m_endpoint, address) || uv_tcp_connect(&m_connect, &m_socket, reinterpret_cast<sockaddr *>(&address), onConnect) != 0) {
        return false;
    }
    configureSocket();
    m_exchange = std::move(exchange);
    recordProgress();
    armTimer();
    return true;
}

void HttpClientConnection::configureSocket()
{
    uv_tcp_nodelay(&m_socket, 1);
    uv_tcp_keepalive(&m_socket, 1, keepAliveIntervalS);
    uv_os_fd_t descriptor = -1;
    uv_fileno(reinterpret_cast<const uv_handle_t *>(&m_socket), &descriptor);
    setTcpOption(descriptor, TCP_KEEPINTVL, keepAliveIntervalS);
    setTcpOption(descriptor, TCP_USER_TIMEOUT, acknowledgementTimeoutMs);
}

bool HttpClientConnection::reuse(Exchange &exchange)
{
    assert(m_state == State::Idle);
    if (!isAlive()) {
        return false;
    }
    m_exchange = std::move(exchange);
    if (!sendRequest()) {
        exchange = std::move(*m_exchange);
        m_exchange.reset();
        return false;
    }
    return true;
}

void HttpClientConnection::connected(int status)
{
    if (m_state != State::Connecting) {
        return;
    }
    if (status < 0 || !sendRequest()) {
        end(HttpCallResult::NotConnected);
    }
}

bool HttpClientConnection::sendRequest()
{
    const HttpClientRequest &request = m_exchange->request;
    if (!request.answerId.empty()) {
        m_answerIds.push_back(request.answerId);
        if (m_answerIds.size() > rememberedAnswerIds) {
            m_answerIds.pop_front();
        }
    }
    m_requestHead = formatHead(request);
    m_requestBody = request.body;
    m_parser.emplace(request.method == "HEAD");
    m_answerHead.clear();
    m_deadlineRecheck = false;
    m_headComplete = false;
    m_leftover = false;
    m_paused = false;

    std::vector<uv_buf_t> buffers = unwritten(0);
    const int written = uv_try_write(reinterpret_cast<uv_stream_t *>(&m_socket), buffers.data(), static_cast<unsigned>(buffers.size()));
    if (written < 0 && written != UV_EAGAIN) {
        return false;
    }
    m_state = State::Busy;
    m_owner.countSent(request.use, m_requestHead.size() + m_requestBody.size());
    writeRest(static_cast<std::size_t>(std::max(0, written)));
    startReading();
    recordProgress();
    armTimer();
    return true;
}

bool HttpClientConnection::hasCarried(const std::string &answerId) const
{
    return !answerId.empty() && std::ranges::find(m_answerIds, answerId) != m_answerIds.end();
}

/** Returns the parts of the request after its first bytes, which were written. */
std::vector<uv_buf_t> HttpClientConnection::unwritten(std::size_t written) const
{
    std::vector<uv_buf_t> buffers;
    const auto add = [&](const std::string &part) {
        if (written < part.size()) {
            buffers.push_back(uv_buf_init(const_cast<char *>(part.data()) + written, static_cast<unsigned>(part.size() - written)));
        }
        written -= std::min(written, part.size());
    };
    add(m_requestHead);
    std::ranges::for_each(m_requestBody.blocks(), add);
    return buffers;
}

void HttpClientConnection::writeRest(std::size_t written)
{
    const std::vector<uv_buf_t> buffers = unwritten(written);
    if (buffers.empty()) {
        return;
    }
    // After a failed write m_writing stays true, so that the connection is not reused. Reading reports how the connection ended.
    const auto onWritten = [](uv_write_t *request, int status) {
        auto *connection = static_cast<HttpClientConnection *>(request->data);
        connection->m_writing = status < 0;
        connection->recordProgress();
    };
    m_writing = true;
    uv_write(&m_write, reinterpret_cast<uv_stream_t *>(&m_socket), buffers.data(), static_cast<unsigned>(buffers.size()), onWritten);
    m_unsent = uv_stream_get_write_queue_size(reinterpret_cast<uv_stream_t *>(&m_socket));
}

void HttpClientConnection::startReading()
{
    const auto allocate = [](uv_handle_t *handle, std::size_t, uv_buf_t *buffer) {
        const std::span<char> memory = static_cast<HttpClientConnection *>(handle->data)->m_owner.readBuffer();
        *buffer = uv_buf_init(memory.data(), static_cast<unsigned>(memory.size()));
    };
    const auto onRead = [](uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer) {
        static_cast<HttpClientConnection *>(stream->data)->received(size, buffer->base);
    };
    uv_read_start(reinterpret_cast<uv_stream_t *>(&m_socket), allocate, onRead);
}

void HttpClientConnection::received(ssize_t size, char *data)
{
    if (size == 0 || m_state == State::Closed) {
        return;
    }
    if (m_state == State::Idle) {
        close();
        m_owner.idleClosed(*this);
        return;
    }
    if (size < 0) {
        onConnectionEnded(static_cast<int>(size));
        return;
    }
    recordProgress();
    m_owner.countReceived(m_exchange->request.use, static_cast<std::size_t>(size));
    const std::span<char> bytes(data, static_cast<std::size_t>(size));
    if (m_headComplete) {
        receivedBody(bytes);
    } else {
        receivedHead(bytes);
    }
}

void HttpClientConnection::receivedHead(std::span<char> bytes)
{
    if (!m_answerHead.empty()) {
        m_answerHead.append(bytes.data(), bytes.size());
        bytes = m_answerHead;
    }
    auto parsed = m_parser->parseHead({bytes.data(), bytes.size()});
    if (std::holds_alternative<HttpAnswerParser::Malformed>(parsed) || bytes.size() > maxHeadBytes + m_owner.readBuffer().size()) {
        end(HttpCallResult::Malformed);
        return;
    }
    if (std::holds_alternative<HttpAnswerParser::Incomplete>(parsed)) {
        if (bytes.size() > maxHeadBytes) {
            end(HttpCallResult::Malformed);
        } else if (m_answerHead.empty()) {
            m_answerHead.assign(bytes.data(), bytes.size());
        }
        return;
    }
    const auto &head = std::get<HttpAnswerParser::Head>(parsed);
    m_headComplete = true;
    m_exchange->receiver->headReceived(head.head);
    if (m_state != State::Busy) {
        return;
    }
    receivedBody(bytes.subspan(head.headSize));
}

void HttpClientConnection::receivedBody(std::span<char> bytes)
{
    const HttpAnswerParser::BodyPart part = m_parser->parseBody(bytes);
    m_leftover = part.leftover;
    if (!part.data.empty()) {
        const bool wantsMore = m_exchange->receiver->bodyReceived(part.data);
        if (m_state != State::Busy) {
            return;
        }
        m_paused = !wantsMore;
    }
    if (part.malformed) {
        end(HttpCallResult::Truncated);
    } else if (part.complete) {
        end(HttpCallResult::Complete);
    } else if (m_paused) {
        uv_read_stop(reinterpret_cast<uv_stream_t *>(&m_socket));
    }
}

void HttpClientConnection::onConnectionEnded(int error)
{
    if (!m_headComplete) {
        end(error == UV_ETIMEDOUT ? HttpCallResult::Unacknowledged : HttpCallResult::ConnectionLost);
    } else if (error == UV_EOF && m_parser->endsWithConnection() && endedCleanly()) {
        end(HttpCallResult::Complete);
    } else {
        end(HttpCallResult::Truncated);
    }
}

void HttpClientConnection::resume()
{
    if (m_state != State::Busy || !m_paused) {
        return;
    }
    m_paused = false;
    recordProgress();
    startReading();
    armTimer();
}

void HttpClientConnection::recordProgress()
{
    m_lastProgress = m_loop.now();
    m_progressRecheck = false;
}

MonotonicTime HttpClientConnection::deadline() const
{
    const HttpClientRequest &request = m_exchange->request;
    return m_headComplete && request.deadlineForHeadOnly ? MonotonicTime::max() : request.deadline;
}

void HttpClientConnection::armTimer()
{
    Duration wait = idleLifetime;
    if (m_state != State::Idle) {
        const HttpClientRequest &request = m_exchange->request;
        const MonotonicTime now = m_loop.now();
        const Duration timeout = m_state == State::Connecting ? request.connectTimeout : request.progressTimeout;
        const MonotonicTime progressEnd = (m_paused ? now : m_lastProgress) + timeout;
        wait = std::min(progressEnd, deadline()) - now;
    }
    const auto onTimer = [](uv_timer_t *timer) { static_cast<HttpClientConnection *>(timer->data)->timerFired(); };
    uv_timer_start(&m_timer, onTimer, millisecondsUntil(wait), 0);
}

void HttpClientConnection::timerFired()
{
    if (m_state == State::Idle) {
        close();
        m_owner.idleClosed(*this);
        return;
    }
    const HttpClientRequest &request = m_exchange->request;
    const MonotonicTime now = m_loop.now();
    if (m_state == State::Connecting) {
        if (now >= std::min(deadline(), m_lastProgress + request.connectTimeout)) {
            end(HttpCallResult::NotConnected);
            return;
        }
        armTimer();
        return;
    }
    const std::size_t unsent = uv_stream_get_write_queue_size(reinterpret_cast<uv_stream_t *>(&m_socket));
    if (unsent != m_unsent) {
        m_unsent = unsent;
        recordProgress();
    }
    if (now >= deadline()) {
        onDeadline();
    } else if (!m_paused && now >= m_lastProgress + request.progressTimeout) {
        onProgressTimeout();
    } else {
        armTimer();
    }
}

void HttpClientConnection::onProgressTimeout()
{
    if (m_progressRecheck) {
        end(HttpCallResult::NoProgress);
        return;
    }
    m_progressRecheck = true;
    checkAgainAfterReading();
}

void HttpClientConnection::onDeadline()
{
    if (m_deadlineRecheck) {
        end(HttpCallResult::DeadlineExpired);
        return;
    }
    m_deadlineRecheck = true;
    checkAgainAfterReading();
}

/** After this process was suspended or busy, timers run before the sockets are read. Reads them once more before the exchange fails. */
void HttpClientConnection::checkAgainAfterReading()
{
    const auto onTimer = [](uv_timer_t *timer) { static_cast<HttpClientConnection *>(timer->data)->timerFired(); };
    uv_timer_start(&m_timer, onTimer, 1, 0);
}

void HttpClientConnection::end(HttpCallResult result)
{
    const bool reusable = result == HttpCallResult::Complete && m_parser->isPersistent() && !m_leftover && !m_writing;
    Exchange exchange = std::move(*m_exchange);
    m_exchange.reset();
    m_requestBody = RequestBody();
    if (reusable) {
        m_state = State::Idle;
        if (m_paused) {
            m_paused = false;
            startReading();
        }
        armTimer();
    } else {
        close();
    }
    m_owner.exchangeEnded(*this, std::move(exchange), result, reusable);
}

HttpClientConnection::Exchange HttpClientConnection::abandon()
{
    Exchange exchange = std::move(*m_exchange);
    m_exchange.reset();
    close();
    return exchange;
}

void HttpClientConnection::close()
{
    if (m_state == State::Closed) {
        return;
    }
    m_state = State::Closed;
    const auto onClose = [](uv_handle_t *handle) {
        auto *connection = static_cast<HttpClientConnection *>(handle->data);
        if (--connection->m_openHandles == 0) {
            delete connection;
        }
    };
    uv_close(reinterpret_cast<uv_handle_t *>(&m_socket), onClose);
    uv_close(reinterpret_cast<uv_handle_t *>(&m_timer), onClose);
}

/**
 * Returns whether the peer closed the connection without a reset. Asks the socket, since libuv
 * reports a reset that directly follows data as the end of the stream.
 */
bool HttpClientConnection::endedCleanly() const
{
    uv_os_fd_t descriptor = -1;
    if (uv_fileno(reinterpret_cast<const uv_handle_t *>(&m_socket), &descriptor) != 0) {
        return false;
    }
    char byte = 0;
    return recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

bool HttpClientConnection::isAlive() const
{
    uv_os_fd_t descriptor = -1;
    if (uv_fileno(reinterpret_cast<const uv_handle_t *>(&m_socket), &descriptor) != 0) {
        return false;
    }
    char byte = 0;
    return recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace nutmeghinge
