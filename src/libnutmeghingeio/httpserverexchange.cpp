#include "httpserverexchange.h"

#include "socketaddress.h"

#include <algorithm>
#include <array>
#include <new>
#include <sys/socket.h>

namespace nutmeghinge {

namespace {

constexpr int http2Version = 0x200;
/** Status of the head that HTTP/2 requires before a stream without an answer can be reset. */
constexpr std::uint16_t resetStatus = 500;
constexpr std::size_t pendingLimitBytes = 65536;

/** Headers that the server generates itself; those of the answer are dropped. */
constexpr std::array<std::string_view, 5> serverHeaders{"connection", "content-length", "date", "keep-alive", "transfer-encoding"};

std::string toString(const h2o_iovec_t &bytes)
{
    return {bytes.base, bytes.len};
}

/** Adds a header. HTTP/2 clients may split the cookie header, which HTTP/1 has only once (RFC 9113, 8.2.3), so its parts are joined. */
void addRequestHeader(HttpHeaders &headers, std::string name, std::string value, bool joinCookies)
{
    if (joinCookies && name == "cookie") {
        const auto found = std::ranges::find(headers, name, [](const auto &header) { return header.first; });
        if (found != headers.end()) {
            found->second += "; " + value;
            return;
        }
    }
    headers.emplace_back(std::move(name), std::move(value));
}

HttpRequest copyRequest(const h2o_req_t &source)
{
    HttpRequest request;
    request.method = toString(source.input.method);
    request.path = toString(source.input.path);
    request.host = toString(source.input.authority);
    for (std::size_t i = 0; i < source.headers.size; ++i) {
        const h2o_header_t &header = source.headers.entries[i];
        addRequestHeader(request.headers, toString(*header.name), toString(header.value), source.version >= http2Version);
    }
    if (source.entity.base != nullptr) {
        request.body = RequestBody(toString(source.entity));
    }
    return request;
}

/** Resets the connection immediately and discards its buffers, so that the client cannot mistake the close for the end of a body. */
void resetConnection(int descriptor)
{
    const sockaddr unspecified{.sa_family = AF_UNSPEC, .sa_data = {}};
    static_cast<void>(connect(descriptor, &unspecified, sizeof(unspecified)));
}

} // namespace

std::shared_ptr<HttpServerExchange> HttpServerExchange::create(h2o_req_t &request, std::shared_ptr<const void> charge)
{
    using Holder = std::shared_ptr<HttpServerExchange>;
    auto exchange = std::make_shared<HttpServerExchange>(request, std::move(charge));
    const auto dispose = [](void *memory) {
        auto *holder = static_cast<Holder *>(memory);
        (*holder)->onRequestEnded();
        holder->~Holder();
    };
    new (h2o_mem_alloc_shared(&request.pool, sizeof(Holder), dispose)) Holder(exchange);
    return exchange;
}

HttpServerExchange::HttpServerExchange(h2o_req_t &request, std::shared_ptr<const void> charge)
    : m_h2oRequest(&request)
    , m_request(copyRequest(request))
{
    m_request.body.keep(std::move(charge));
    m_generator.super.proceed = [](h2o_generator_t *self, h2o_req_t *) { reinterpret_cast<Generator *>(self)->exchange->proceed(); };
    m_generator.exchange = this;
    m_flush.super.cb = [](h2o_timeout_entry_t *entry) {
        HttpServerExchange *exchange = reinterpret_cast<FlushEntry *>(entry)->exchange;
        if (!exchange->m_responseStarted) {
            exchange->send(H2O_SEND_STATE_IN_PROGRESS);
        }
    };
    m_flush.exchange = this;
}

HttpServerExchange::~HttpServerExchange() = default;

Endpoint HttpServerExchange::client() const
{
    sockaddr_storage address{};
    const h2o_conn_t *connection = m_h2oRequest == nullptr ? nullptr : m_h2oRequest->conn;
    if (connection == nullptr || connection->callbacks->get_peername(m_h2oRequest->conn, reinterpret_cast<sockaddr *>(&address)) == 0) {
        return {};
    }
    return SocketAddress::toEndpoint(address);
}

void HttpServerExchange::answer(std::uint16_t status, HttpHeaders headers, std::string body)
{
    beginAnswer({.status = status, .headers = std::move(headers), .contentLength = body.size()});
    write(body);
    finish();
}

void HttpServerExchange::beginAnswer(HttpAnswerHead head)
{
    if (m_h2oRequest == nullptr || m_answerBegun) {
        return;
    }
    m_answerBegun = true;
    m_bodyless = m_request.method == "HEAD" || head.status == 204 || head.status == 304;
    m_contentLength = head.contentLength;
    m_h2oRequest->res.status = head.status;
    m_h2oRequest->res.reason = reasonPhrase(head.status);
    if (head.contentLength && head.status != 204) {
        m_h2oRequest->res.content_length = *head.contentLength;
    }
    addHeaders(head);
    scheduleFlush();
}

void HttpServerExchange::addHeaders(const HttpAnswerHead &head)
{
    h2o_mem_pool_t *pool = &m_h2oRequest->pool;
    for (const auto &[name, value] : head.headers) {
        if (std::ranges::find(serverHeaders, name) != serverHeaders.end()) {
            continue;
        }
        const h2o_iovec_t ownName = h2o_strdup(pool, name.data(), name.size());
        const h2o_iovec_t ownValue = h2o_strdup(pool, value.data(), value.size());
        h2o_add_header_by_str(pool, &m_h2oRequest->res.headers, ownName.base, ownName.len, 1, nullptr, ownValue.base, ownValue.len);
    }
}

void HttpServerExchange::scheduleFlush()
{
    h2o_context_t *context = m_h2oRequest->conn->ctx;
    h2o_timeout_link(context->loop, &context->zero_timeout, &m_flush.super);
}

bool HttpServerExchange::write(std::string_view data)
{
    if (!canWrite() || m_bodyless) {
        return true;
    }
    m_bodyBytesWritten += data.size();
    if (m_contentLength && m_bodyBytesWritten > *m_contentLength) {
        reset();
        return true;
    }
    m_pending.append(data);
    const bool awaitsFlush = h2o_timeout_is_linked(&m_flush.super) && m_pending.size() < pendingLimitBytes;
    if (!m_sending && !awaitsFlush && !m_pending.empty()) {
        send(H2O_SEND_STATE_IN_PROGRESS);
    }
    return m_inFlight.size() + m_pending.size() < pendingLimitBytes;
}

void HttpServerExchange::finish()
{
    if (!canWrite()) {
        return;
    }
    if (!m_bodyless && m_contentLength && m_bodyBytesWritten < *m_contentLength) {
        reset();
        return;
    }
    m_finished = true;
    if (!m_sending) {
        send(H2O_SEND_STATE_FINAL);
    }
}

void HttpServerExchange::send(h2o_send_state_t state)
{
    if (h2o_timeout_is_linked(&m_flush.super)) {
        h2o_timeout_unlink(&m_flush.super);
    }
    if (!m_responseStarted) {
        m_responseStarted = true;
        h2o_start_response(m_h2oRequest, &m_generator.super);
    }
    std::swap(m_inFlight, m_pending);
    m_pending.clear();
    m_sending = true;
    m_finalStateSent = state == H2O_SEND_STATE_FINAL;
    h2o_iovec_t buffer = h2o_iovec_init(m_inFlight.data(), m_inFlight.size());
    h2o_send(m_h2oRequest, &buffer, m_inFlight.empty() ? 0 : 1, state);
}

void HttpServerExchange::proceed()
{
    const std::shared_ptr<HttpServerExchange> self = shared_from_this();
    m_sending = false;
    m_inFlight.clear();
    if (m_finished) {
        send(m_resetRequested ? H2O_SEND_STATE_ERROR : H2O_SEND_STATE_FINAL);
        return;
    }
    if (!m_pending.empty()) {
        send(H2O_SEND_STATE_IN_PROGRESS);
    }
    if (m_writableFunction) {
        m_writableFunction();
    }
}

void HttpServerExchange::reset()
{
    if (m_h2oRequest == nullptr || m_finalStateSent || m_resetRequested) {
        return;
    }
    const std::shared_ptr<HttpServerExchange> self = shared_from_this();
    m_closedFunction = nullptr;
    m_resetRequested = true;
    m_finished = true;
    m_pending.clear();
    resetHttp1Connection();
    if (m_sending) {
        return;
    }
    if (!m_answerBegun) {
        m_answerBegun = true;
        m_h2oRequest->res.status = resetStatus;
        m_h2oRequest->res.reason = reasonPhrase(resetStatus);
    }
    send(H2O_SEND_STATE_ERROR);
}

void HttpServerExchange::resetHttp1Connection()
{
    if (m_h2oRequest->version >= http2Version) {
        return;
    }
    resetConnection(h2o_socket_get_fd(m_h2oRequest->conn->callbacks->get_socket(m_h2oRequest->conn)));
}

void HttpServerExchange::setWritableFunction(std::function<void()> function)
{
    m_writableFunction = std::move(function);
}

void HttpServerExchange::setClosedFunction(std::function<void()> function)
{
    m_closedFunction = std::move(function);
}

void HttpServerExchange::onClientDisconnected()
{
    const std::shared_ptr<HttpServerExchange> self = shared_from_this();
    const std::function<void()> closed = std::exchange(m_closedFunction, nullptr);
    reset();
    if (closed) {
        closed();
    }
}

void HttpServerExchange::onRequestEnded()
{
    if (h2o_timeout_is_linked(&m_flush.super)) {
        h2o_timeout_unlink(&m_flush.super);
    }
    m_h2oRequest = nullptr;
    m_writableFunction = nullptr;
    const std::function<void()> closed = std::exchange(m_closedFunction, nullptr);
    const std::function<void()> ended = std::exchange(m_endedFunction, nullptr);
    if (ended) {
        ended();
    }
    if (closed && !m_finalStateSent) {
        closed();
    }
}

} // namespace nutmeghinge
