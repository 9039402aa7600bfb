#include "pipelinedconnection.h"

#include "eventloop.h"
#include "httpmessage.h"
#include "memorybudget.h"
#include "numberparsing.h"
#include "pipelinedexchange.h"
#include "requestframing.h"

#include <algorithm>
#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace nutmeghinge {

namespace {

constexpr std::size_t headLimitBytes = 65536;
constexpr std::size_t headerLimit = 100;
/** Largest chunk extension or trailer; a longer one would never end. */
constexpr std::size_t chunkOverheadLimitBytes = 65536;
/** A request that is being received makes progress if this many bytes arrive within the idle timeout. */
constexpr std::size_t progressBytes = 16384;
/** Memory that a connection, and a request beside its head and body, take. */
constexpr std::size_t connectionBytes = 4096;
constexpr std::size_t requestBytes = 4096;
/** A head is kept several times: as received, in parts, and as it is forwarded. */
constexpr std::size_t headCopies = 4;
/** Capacity of the input buffer that an idle connection keeps. */
constexpr std::size_t idleInputBytes = 4096;
/** Maximum number of unanswered requests of a connection; further requests wait in its buffer. */
constexpr std::size_t pipelineLimit = 16;
/** Size of the write queue above which the source of the answer must pause. */
constexpr std::size_t writeQueueLimitBytes = 262144;
/** Time for which input is still read after the last answer. Closing with unread input would reset the connection and could lose the answer. */
constexpr Duration lingerTime = std::chrono::seconds(1);
/** Time without a request after which a connection that is to be closed closes, and for which the client's system may then still acknowledge what it was sent.
 */
constexpr Duration idleGrace = std::chrono::milliseconds(250);
/** Time for which sent data may stay unacknowledged before the connection is closed. */
constexpr int acknowledgementTimeoutMs = 60000;

void setOption(uv_tcp_t &socket, int option, int value)
{
    uv_os_fd_t descriptor = -1;
    if (uv_fileno(reinterpret_cast<uv_handle_t *>(&socket), &descriptor) == 0) {
        setsockopt(descriptor, IPPROTO_TCP, option, &value, sizeof(value));
    }
}

/** A write that the socket has not completed, with its data. */
struct PendingWrite {
    uv_write_t request{};
    std::string bytes;
    std::shared_ptr<PipelinedConnection> connection;
};

HttpHeaders headersOf(const std::array<phr_header, headerLimit> &parsed, std::size_t count)
{
    HttpHeaders headers;
    headers.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        headers.emplace_back(lowerCase({parsed[i].name, parsed[i].name_len}), std::string(parsed[i].value, parsed[i].value_len));
    }
    return headers;
}

bool hasToken(const HttpHeaders &headers, std::string_view name, std::string_view token)
{
    const std::vector<std::string> items = listItems(findHeader(headers, name).value_or(""));
    return std::ranges::find(items, token) != items.end();
}

} // namespace

PipelinedConnection::PipelinedConnection(EventLoop &loop, Owner &owner, const HttpListener::Options &options)
    : m_loop(loop)
    , m_owner(owner)
    , m_options(options)
    , m_idleSince(loop.now())
    , m_inputCharge(options.limits.memory, loop.now())
    , m_outputCharge(options.limits.memory, loop.now())
{
    m_inputCharge.setReclaimFunction([this] { reclaimInput(); });
    m_outputCharge.setReclaimFunction([this] { reclaimOutput(); }, MemoryCharge::Reclaim::IfStalled);
    uv_tcp_init(loop.handle(), &m_socket);
    uv_timer_init(loop.handle(), &m_timer);
    m_socket.data = this;
    m_timer.data = this;
}

PipelinedConnection::~PipelinedConnection() = default;

bool PipelinedConnection::accept(uv_stream_t *listener)
{
    return begin(uv_accept(listener, reinterpret_cast<uv_stream_t *>(&m_socket)) == 0);
}

bool PipelinedConnection::adopt(uv_os_sock_t socket)
{
    const bool opened = uv_tcp_open(&m_socket, socket) == 0;
    if (!opened) {
        ::close(socket);
    }
    return begin(opened);
}

/** Starts reading if the socket was opened, else closes the connection. Returns whether it was opened. */
bool PipelinedConnection::begin(bool opened)
{
    m_self = shared_from_this();
    if (!opened) {
        m_state = State::Lingering;
        m_exchanges.clear();
        close();
        return false;
    }
    const bool isPaced = m_options.pacer != nullptr && !m_options.pacer->isUnlimited();
    m_usesLink = isPaced && SocketAddress::localEndpoint(&m_socket).address != client().address;
    uv_tcp_nodelay(&m_socket, 1);
    uv_tcp_keepalive(&m_socket, 1, 1);
    setOption(m_socket, TCP_USER_TIMEOUT, acknowledgementTimeoutMs);
    if (!chargeInput()) {
        abort();
        return false;
    }
    if (m_options.limits.connections != nullptr) {
        m_options.limits.connections->add(*this);
    }
    m_readAfter = m_loop.inputHandledUntil();
    m_acceptedInTurn = m_loop.turn();
    armTimer(m_options.idleTimeout);
    updateReading();
    return true;
}

void PipelinedConnection::updateReading()
{
    const bool waits = m_exchanges.size() >= pipelineLimit || isWriteQueueFull();
    const bool full = m_state == State::Open && waits && m_input.size() >= headLimitBytes;
    const bool discardedEnough = m_discardedBytes > m_options.bodyLimit;
    const bool isClosed = m_state == State::Closed || m_state == State::ClosedIdle;
    const bool wanted = !isClosed && !full && !discardedEnough;
    if (wanted == m_reading) {
        return;
    }
    m_reading = wanted;
    if (!wanted) {
        uv_read_stop(reinterpret_cast<uv_stream_t *>(&m_socket));
        return;
    }
    const auto allocate = [](uv_handle_t *, std::size_t, uv_buf_t *buffer) {
        static std::array<char, 65536> memory;
        *buffer = uv_buf_init(memory.data(), memory.size());
    };
    const auto onRead = [](uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer) {
        const std::shared_ptr<PipelinedConnection> self = static_cast<PipelinedConnection *>(stream->data)->shared_from_this();
        self->handleInput(size, buffer->base);
    };
    uv_read_start(reinterpret_cast<uv_stream_t *>(&m_socket), allocate, onRead);
}

void PipelinedConnection::handleInput(ssize_t size, const char *data)
{
    if (size == 0 || m_state == State::Closed) {
        return;
    }
    if (size < 0) {
        handleDisconnect();
        return;
    }
    if (m_options.traffic != nullptr) {
        m_options.traffic->of(m_options.use).received += static_cast<std::uint64_t>(size);
    }
    if (m_state == State::Lingering || m_inputEnded) {
        discardInput(static_cast<std::size_t>(size));
        return;
    }
    const bool begins = !hasUnfinishedRequest();
    const bool cameWithConnection = m_loop.turn() <= m_acceptedInTurn + 1;
    m_readAfter = cameWithConnection ? m_readAfter : m_loop.inputHandledUntil();
    if (begins) {
        m_inputAfter = m_readAfter;
    }
    m_input.append(data, static_cast<std::size_t>(size));
    if (begins) {
        m_inputCharge.restart(m_loop.now());
    }
    recordInput(static_cast<std::size_t>(size));
    parse();
    if (m_state == State::Open && !m_inputEnded && !chargeInput()) {
        refuseForMemory();
    }
    if (m_state == State::Open && begins && hasUnfinishedRequest()) {
        armTimer(m_options.idleTimeout);
    }
}

void PipelinedConnection::discardInput(std::size_t size)
{
    m_discardedBytes += size;
    m_lastInput = m_loop.now();
    if (m_discardedBytes <= m_options.bodyLimit) {
        return;
    }
    if (m_state == State::Lingering) {
        close();
    } else {
        updateReading();
    }
}

void PipelinedConnection::recordInput(std::size_t size)
{
    m_lastInput = m_loop.now();
    m_unmarkedBytes += size;
    if (m_unmarkedBytes < progressBytes) {
        return;
    }
    m_unmarkedBytes = 0;
    m_inputCharge.recordProgress(m_loop.now());
    armTimer(m_options.idleTimeout);
}

std::size_t PipelinedConnection::inputBytes(std::size_t bodyBytes) const
{
    return connectionBytes + m_input.capacity() + (m_partial ? requestBytes + m_partial->headSize * headCopies : 0) + bodyBytes;
}

bool PipelinedConnection::chargeInput()
{
    if (m_input.empty() && m_input.capacity() > idleInputBytes && !m_partial) {
        std::string().swap(m_input);
    }
    return m_inputCharge.resize(inputBytes(m_partial ? m_partial->request.body.capacity() : 0), m_loop.now());
}

std::size_t PipelinedConnection::outputBytes() const
{
    std::size_t bytes = unsentBytes();
    for (const auto &exchange : m_exchanges) {
        bytes += exchange->m_output.capacity();
    }
    return bytes;
}

bool PipelinedConnection::chargeOutput()
{
    const std::size_t bytes = outputBytes();
    if (bytes < m_outputCharge.bytes()) {
        m_outputCharge.recordProgress(m_loop.now());
    } else if (m_outputCharge.bytes() == 0) {
        m_outputCharge.restart(m_loop.now());
    }
    return m_outputCharge.resize(bytes, m_loop.now());
}

/** Frees the memory of a request that has not been received completely, or closes an idle connection. */
void PipelinedConnection::reclaimInput()
{
    if (m_state != State::Open || m_inputEnded) {
        return;
    }
    if (hasUnfinishedRequest()) {
        refuseForMemory();
    } else if (isClosable()) {
        close();
    }
}

/** Ends the connection of a client that has read nothing of its answers since they were last charged. */
void PipelinedConnection::reclaimOutput()
{
    if (outputBytes() < m_outputCharge.bytes()) {
        static_cast<void>(chargeOutput());
        return;
    }
    reset();
}

bool PipelinedConnection::isClosable() const
{
    const bool serves = m_state == State::Open && !m_exchanges.empty();
    return m_state != State::Closed && !serves && unsentBytes() == 0;
}

std::size_t PipelinedConnection::unsentBytes() const
{
    return uv_stream_get_write_queue_size(reinterpret_cast<const uv_stream_t *>(&m_socket)) + m_outgoingBytes;
}

void PipelinedConnection::refuseForMemory()
{
    if (m_state != State::Open) {
        return;
    }
    refuse(503, "there is no memory for the request", m_options.unavailableHeaders);
}

void PipelinedConnection::parse()
{
    while (m_state == State::Open && !m_inputEnded && m_exchanges.size() < pipelineLimit && !isWriteQueueFull()) {
        if (!m_partial && !parseHead()) {
            break;
        }
        if (m_partial && !parseBody()) {
            break;
        }
    }
    if (m_state == State::Open) {
        updateReading();
    }
}

bool PipelinedConnection::parseHead()
{
    const std::size_t start = std::min(m_input.find_first_not_of("\r\n"), m_input.size());
    m_input.erase(0, start);
    if (m_input.empty()) {
        return false;
    }
    const char *method = nullptr;
    const char *path = nullptr;
    std::size_t methodSize = 0;
    std::size_t pathSize = 0;
    int minorVersion = 0;
    std::array<phr_header, headerLimit> parsed{};
    std::size_t count = parsed.size();
    const int size = phr_parse_request(m_input.data(), m_input.size(), &method, &methodSize, &path, &pathSize, &minorVersion, parsed.data(), &count, 0);
    if (size == -2) {
        if (m_input.size() > headLimitBytes) {
            refuse(431, "the request head is too large");
        }
        return false;
    }
    if (size < 0) {
        refuse(400, "the request head is not valid HTTP/1");
        return false;
    }
    PartialRequest partial;
    partial.request.method.assign(method, methodSize);
    partial.request.path.assign(path, pathSize);
    partial.request.headers = headersOf(parsed, count);
    partial.request.arrivedAfter = m_inputAfter;
    const HttpHeaders &headers = partial.request.headers;
    partial.request.host = findHeader(headers, "host").value_or("");
    partial.keepAlive = minorVersion >= 1 && !hasToken(headers, "connection", "close");
    const std::string_view head(m_input.data(), static_cast<std::size_t>(size));
    const auto encoding = findHeader(headers, "transfer-encoding");
    const auto length = findHeader(headers, "content-length");
    partial.chunked = encoding.has_value();
    partial.decoder.consume_trailer = 1;
    const std::optional<std::uint64_t> bodySize = length ? parseNumber(*length) : std::optional<std::uint64_t>(0);
    const bool framed = hasSingleFraming(head) && bodySize && (!encoding || lowerCase(*encoding) == "chunked");
    if (!framed || !isWritableAsHttp1(partial.request)) {
        refuse(400, "the framing of the request is ambiguous");
        return false;
    }
    if (*bodySize > m_options.bodyLimit) {
        refuse(413, "the body of the request is too large");
        return false;
    }
    partial.bodyLeft = *bodySize;
    partial.headSize = static_cast<std::size_t>(size);
    const bool expects = hasToken(headers, "expect", "100-continue");
    std::erase_if(partial.request.headers, [](const auto &header) { return header.first == "host" || header.first == "expect"; });
    m_input.erase(0, static_cast<std::size_t>(size));
    m_partial = std::move(partial);
    if (expects && m_exchanges.empty() && m_input.empty()) {
        send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return true;
}

bool PipelinedConnection::parseBody()
{
    if (m_partial->chunked) {
        return parseChunks();
    }
    const std::size_t size = std::min<std::uint64_t>(m_partial->bodyLeft, m_input.size());
    if (!appendBody(std::string_view(m_input).substr(0, size))) {
        return false;
    }
    m_partial->bodyLeft -= size;
    m_input.erase(0, size);
    if (m_partial->bodyLeft > 0) {
        return false;
    }
    dispatchRequest();
    return true;
}

bool PipelinedConnection::parseChunks()
{
    if (m_input.empty()) {
        return false;
    }
    const std::size_t received = m_input.size();
    std::size_t size = received;
    const ssize_t left = phr_decode_chunked(&m_partial->decoder, m_input.data(), &size);
    if (left == -1) {
        refuse(400, "the chunked encoding of the request body is invalid");
        return false;
    }
    m_partial->chunkOverhead = size > 0 ? 0 : m_partial->chunkOverhead + received;
    if (left == -2 && m_partial->chunkOverhead > chunkOverheadLimitBytes) {
        refuse(400, "a chunk extension or trailer of the request is too large");
        return false;
    }
    if (m_partial->request.body.size() + size > m_options.bodyLimit) {
        refuse(413, "the body of the request is too large");
        return false;
    }
    if (!appendBody(std::string_view(m_input).substr(0, size))) {
        return false;
    }
    if (left == -2) {
        m_input.clear();
        return false;
    }
    m_input.erase(0, size);
    m_input.resize(static_cast<std::size_t>(left));
    dispatchRequest();
    return true;
}

bool PipelinedConnection::appendBody(std::string_view data)
{
    if (!m_inputCharge.resize(inputBytes(m_partial->request.body.capacityWith(data.size())), m_loop.now())) {
        refuseForMemory();
        return false;
    }
    // Reclaiming memory may have closed this connection, because its client does not read.
    if (m_state != State::Open) {
        return false;
    }
    m_partial->request.body.append(data);
    return true;
}

void PipelinedConnection::dispatchRequest()
{
    uv_timer_stop(&m_timer);
    PartialRequest partial = *std::move(m_partial);
    m_partial.reset();
    m_inputAfter = m_readAfter;
    m_unmarkedBytes = 0;
    m_inputCharge.restart(m_loop.now());
    // The memory passes from the connection to the request.
    static_cast<void>(chargeInput());
    const auto charge = std::make_shared<MemoryCharge>(m_options.limits.memory, m_loop.now());
    if (!charge->resize(requestBytes + partial.headSize * headCopies + partial.request.body.capacity(), m_loop.now())) {
        refuseForMemory();
        return;
    }
    if (m_state != State::Open) {
        return;
    }
    partial.request.body.keep(charge);
    m_hasServed = true;
    m_pipelines = m_pipelines || !m_exchanges.empty();
    m_inputEnded = !partial.keepAlive || m_closeAfterAnswers;
    const auto exchange = std::make_shared<PipelinedExchange>(*this, std::move(partial.request), partial.keepAlive);
    m_exchanges.push_back(exchange);
    m_owner.onRequest(exchange);
}

/** Answers with the error after the answers to earlier requests and stops reading requests. */
void PipelinedConnection::refuse(std::uint16_t status, const char *reason, HttpHeaders headers)
{
    m_owner.onRequestRefused(reason);
    answerLast(status, reason, std::move(headers));
}

void PipelinedConnection::answerLast(std::uint16_t status, const char *reason, HttpHeaders headers)
{
    m_inputEnded = true;
    m_refused = true;
    m_partial.reset();
    std::string().swap(m_input);
    static_cast<void>(chargeInput());
    const auto exchange = std::make_shared<PipelinedExchange>(*this, HttpRequest(), false);
    m_exchanges.push_back(exchange);
    headers.emplace_back("content-type", "text/plain");
    exchange->answer(status, std::move(headers), std::string(reason) + '\n');
}

void PipelinedConnection::flush()
{
    if (m_flushing) {
        return;
    }
    m_flushing = true;
    bool popped = false;
    while (m_state == State::Open && !m_exchanges.empty()) {
        const std::shared_ptr<PipelinedExchange> front = m_exchanges.front();
        if (!front->m_output.empty()) {
            send(std::exchange(front->m_output, {}));
        }
        if (!front->m_finished || m_state != State::Open) {
            break;
        }
        front->m_connection = nullptr;
        front->m_closedFunction = nullptr;
        front->m_writableFunction = nullptr;
        m_exchanges.pop_front();
        popped = true;
        recordAnswered(*front);
        if (!front->m_keepAlive) {
            finish();
        }
    }
    m_flushing = false;
    if (m_state == State::Open && !chargeOutput()) {
        reset();
    }
    if (m_state != State::Open || !popped) {
        return;
    }
    if (m_exchanges.empty()) {
        m_idleSince = m_loop.now();
        armIdleTimer();
    } else if (m_exchanges.front()->m_writableFunction) {
        // The exchange is now first in the queue, so its source may continue.
        m_exchanges.front()->m_writableFunction();
    }
    if (!m_input.empty()) {
        parse();
    }
}

bool PipelinedConnection::isPaced() const
{
    return m_usesLink && (m_outgoingBytes > 0 || !m_exchanges.front()->m_small);
}

void PipelinedConnection::send(std::string bytes)
{
    if (m_options.traffic != nullptr) {
        m_options.traffic->of(m_options.use).sent += bytes.size();
    }
    if (isPaced()) {
        m_outgoingBytes += bytes.size();
        m_outgoing.push_back(std::move(bytes));
        m_options.pacer->request(*this);
    } else {
        if (m_usesLink) {
            m_options.pacer->sent(bytes.size());
        }
        write(std::move(bytes));
    }
    recordUnsent();
}

std::uint64_t PipelinedConnection::bytesLeft() const
{
    const std::optional<std::uint64_t> unwritten = m_exchanges.empty() ? std::nullopt : m_exchanges.front()->m_bodyLeft;
    return m_outgoingBytes + unwritten.value_or(0);
}

bool PipelinedConnection::writeChunk(std::uint64_t bytes)
{
    const std::shared_ptr<PipelinedConnection> self = shared_from_this();
    auto *stream = reinterpret_cast<uv_stream_t *>(&m_socket);
    if (m_outgoingBytes == 0 || uv_stream_get_write_queue_size(stream) > 0) {
        return false;
    }
    const bool wasFull = isWriteQueueFull();
    std::string chunk = takeOutgoing(bytes);
    m_options.pacer->sent(chunk.size());
    write(std::move(chunk));
    if (m_state == State::Lingering && m_outgoingBytes == 0) {
        shutDownSocket();
    }
    if (wasFull && !isWriteQueueFull()) {
        handleWritten();
    } else {
        recordUnsent();
        static_cast<void>(chargeOutput());
    }
    return m_outgoingBytes > 0 && uv_stream_get_write_queue_size(stream) == 0;
}

/** Removes the next bytes from those that wait for the link, up to a number. */
std::string PipelinedConnection::takeOutgoing(std::uint64_t bytes)
{
    std::string taken;
    while (!m_outgoing.empty() && taken.size() < bytes) {
        std::string &front = m_outgoing.front();
        if (front.size() <= bytes - taken.size()) {
            taken += front;
            m_outgoing.pop_front();
        } else {
            const std::size_t part = bytes - taken.size();
            taken.append(front, 0, part);
            front.erase(0, part);
        }
    }
    m_outgoingBytes -= taken.size();
    return taken;
}

void PipelinedConnection::write(std::string bytes)
{
    auto *stream = reinterpret_cast<uv_stream_t *>(&m_socket);
    std::size_t written = 0;
    if (uv_stream_get_write_queue_size(stream) == 0) {
        uv_buf_t buffer = uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
        const int result = uv_try_write(stream, &buffer, 1);
        if (result < 0 && result != UV_EAGAIN) {
            // The read callback reports how the connection ended.
            return;
        }
        written = static_cast<std::size_t>(std::max(0, result));
    }
    if (written == bytes.size()) {
        return;
    }
    auto *write = new PendingWrite;
    write->bytes = bytes.substr(written);
    write->connection = shared_from_this();
    write->request.data = write;
    uv_buf_t buffer = uv_buf_init(write->bytes.data(), static_cast<unsigned>(write->bytes.size()));
    const auto onWritten = [](uv_write_t *request, int) {
        const std::unique_ptr<PendingWrite> done(static_cast<PendingWrite *>(request->data));
        done->connection->handleWritten();
    };
    if (uv_write(&write->request, stream, &buffer, 1, onWritten) != 0) {
        delete write;
    }
}

void PipelinedConnection::recordUnsent()
{
    if (m_options.traffic == nullptr) {
        return;
    }
    const std::uint64_t unsent = m_state == State::Closed ? 0 : unsentBytes();
    m_options.traffic->of(m_options.use).waiting += unsent - m_waitingBytes;
    m_waitingBytes = unsent;
    if (unsent == 0 && m_state != State::Closed) {
        for (const PendingAnswer &answer : std::exchange(m_pendingAnswers, {})) {
            m_options.traffic->answerDelivered(m_loop.now() - answer.begunAt);
        }
    }
}

void PipelinedConnection::recordAnswered(const PipelinedExchange &exchange)
{
    if (m_options.traffic != nullptr && m_state == State::Open) {
        m_pendingAnswers.push_back({exchange.m_begunAt, exchange.m_answerBytes});
        recordUnsent();
    }
}

void PipelinedConnection::reportCutAnswers()
{
    if (m_options.traffic == nullptr) {
        return;
    }
    std::deque<PendingAnswer> cut = std::exchange(m_pendingAnswers, {});
    if (!m_exchanges.empty() && m_exchanges.front()->m_answerBegun) {
        cut.push_back({m_exchanges.front()->m_begunAt, m_exchanges.front()->m_answerBytes});
    }
    for (const PendingAnswer &answer : cut) {
        m_options.traffic->answerCut({m_options.use, answer.bytes, std::min<std::uint64_t>(unsentBytes(), answer.bytes), m_loop.now() - answer.begunAt});
    }
}

void PipelinedConnection::reportLost(LostRequest lost, std::uint64_t bytes)
{
    if (m_options.traffic != nullptr) {
        m_options.traffic->connectionEnded({m_options.use, lost, bytes, m_loop.now() - m_lastInput, m_announcesClose});
    }
}

void PipelinedConnection::reportLostRequests()
{
    if (m_discardedBytes > 0 && !m_refused) {
        reportLost(LostRequest::Discarded, m_discardedBytes);
    }
    if (m_clientDisconnected) {
        return;
    }
    for (const auto &exchange : m_exchanges) {
        reportLost(isFirst(*exchange) && exchange->m_answerBegun ? LostRequest::AnswerCut : LostRequest::Unanswered, exchange->m_request.body.size());
    }
    if (m_exchanges.empty() && !m_pendingAnswers.empty() && unsentBytes() > 0) {
        reportLost(LostRequest::AnswerCut, 0);
    }
    if (hasUnfinishedRequest()) {
        reportLost(LostRequest::Unfinished, m_input.size() + (m_partial ? m_partial->headSize + m_partial->request.body.size() : 0));
    }
}

bool PipelinedConnection::isWriteQueueFull() const
{
    return unsentBytes() > writeQueueLimitBytes;
}

bool PipelinedConnection::hasUnreadInput() const
{
    uv_os_fd_t descriptor = -1;
    char byte = 0;
    return uv_fileno(reinterpret_cast<const uv_handle_t *>(&m_socket), &descriptor) == 0 && recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void PipelinedConnection::handleWritten()
{
    if (m_state != State::Closed) {
        recordUnsent();
        static_cast<void>(chargeOutput());
    }
    if (m_state != State::Closed && m_outgoingBytes > 0) {
        m_options.pacer->request(*this);
    }
    if (m_state == State::Lingering) {
        armTimer(m_options.idleTimeout);
    }
    if (m_state == State::Open && !m_exchanges.empty() && !isWriteQueueFull() && m_exchanges.front()->m_writableFunction) {
        m_exchanges.front()->m_writableFunction();
    }
    if (m_state == State::Open && !m_input.empty() && !isWriteQueueFull()) {
        parse();
    }
}

void PipelinedConnection::closeAfterAnswers()
{
    m_announcesClose = true;
    m_closeAfterAnswers = true;
    // Unread requests are left to the client, which retries them, unless the last answer has begun without announcing the close.
    m_inputEnded = m_inputEnded || (!m_exchanges.empty() && !m_partial && !m_exchanges.back()->m_answerBegun);
}

bool PipelinedConnection::beginLastAnswer(const PipelinedExchange &exchange)
{
    const bool announces = m_closeAfterAnswers || (m_announcesClose && !m_pipelines);
    const bool mayEnd = m_inputEnded || !hasUnfinishedRequest();
    if (!announces || !mayEnd || m_exchanges.back().get() != &exchange) {
        return false;
    }
    m_inputEnded = true;
    return true;
}

void PipelinedConnection::closeIfIdle()
{
    closeAfterAnswers();
    m_closesIdle = true;
    if (m_state == State::Open && m_exchanges.empty()) {
        endIdle();
    }
}

void PipelinedConnection::endIdle()
{
    if (hasUnfinishedRequest() || hasUnreadInput()) {
        armIdleTimer();
        return;
    }
    if (unsentBytes() > 0) {
        // A client that has not received its whole answer sends no other request, unless it pipelines.
        finish();
        return;
    }
    if (!m_options.closingHeaders.empty()) {
        answerLast(503, "this connection closes", m_options.closingHeaders);
        return;
    }
    m_state = State::ClosedIdle;
    updateReading();
    armTimer(m_options.idleTimeout);
    shutDownSocket();
}

void PipelinedConnection::armIdleTimer()
{
    armTimer(m_closesIdle && !hasUnfinishedRequest() ? idleGrace : m_options.idleTimeout);
}

void PipelinedConnection::refuseStalled(Duration time)
{
    if (m_state == State::Open && hasUnfinishedRequest() && !m_inputEnded && m_loop.now() - m_lastInput >= time) {
        refuse(503, "this node is stopping", m_options.unavailableHeaders);
    }
}

void PipelinedConnection::handleDisconnect()
{
    const auto exchanges = m_exchanges;
    m_clientDisconnected = true;
    close();
    for (const auto &exchange : exchanges) {
        if (const std::function<void()> closed = std::exchange(exchange->m_closedFunction, nullptr)) {
            closed();
        }
    }
}

/** Resets the connection, so that the client does not mistake an aborted answer for complete and can retry the requests after it. */
void PipelinedConnection::reset()
{
    const auto exchanges = m_exchanges;
    if (m_state != State::Closed) {
        const linger resetOnClose{1, 0};
        uv_os_fd_t descriptor = -1;
        if (uv_fileno(reinterpret_cast<uv_handle_t *>(&m_socket), &descriptor) == 0) {
            setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
        }
    }
    close();
    for (const auto &exchange : exchanges) {
        if (const std::function<void()> closed = std::exchange(exchange->m_closedFunction, nullptr)) {
            closed();
        }
    }
}

void PipelinedConnection::abort()
{
    for (const auto &exchange : m_exchanges) {
        exchange->m_closedFunction = nullptr;
    }
    reset();
}

void PipelinedConnection::finish()
{
    m_state = State::Lingering;
    m_partial.reset();
    std::string().swap(m_input);
    static_cast<void>(chargeInput());
    for (const auto &exchange : std::exchange(m_exchanges, {})) {
        reportLost(LostRequest::Unanswered, exchange->m_request.body.size());
        exchange->m_connection = nullptr;
        if (const std::function<void()> closed = std::exchange(exchange->m_closedFunction, nullptr)) {
            closed();
        }
    }
    // The last answer may still be queued; a slow client gets all of it.
    armTimer(m_options.idleTimeout);
    if (m_outgoingBytes == 0) {
        shutDownSocket();
    }
}

void PipelinedConnection::shutDownSocket()
{
    auto *request = new uv_shutdown_t;
    const auto onShutdown = [](uv_shutdown_t *done, int) {
        auto *connection = static_cast<PipelinedConnection *>(done->handle->data);
        delete done;
        if (connection->m_state != State::Closed) {
            connection->armTimer(connection->m_state == State::ClosedIdle ? idleGrace : lingerTime);
        }
    };
    if (uv_shutdown(request, reinterpret_cast<uv_stream_t *>(&m_socket), onShutdown) != 0) {
        delete request;
        armTimer(idleGrace);
    }
}

void PipelinedConnection::close()
{
    if (m_state == State::Closed) {
        return;
    }
    reportLostRequests();
    reportCutAnswers();
    if (m_usesLink) {
        m_options.pacer->withdraw(*this);
        m_outgoing.clear();
        m_outgoingBytes = 0;
    }
    m_state = State::Closed;
    recordUnsent();
    m_partial.reset();
    std::string().swap(m_input);
    m_inputCharge.release();
    m_outputCharge.release();
    if (m_options.limits.connections != nullptr) {
        m_options.limits.connections->remove(*this);
    }
    for (const auto &exchange : m_exchanges) {
        exchange->m_connection = nullptr;
        exchange->m_writableFunction = nullptr;
    }
    m_exchanges.clear();
    const auto onClose = [](uv_handle_t *handle) {
        auto *connection = static_cast<PipelinedConnection *>(handle->data);
        if (--connection->m_openHandles == 0) {
            const std::shared_ptr<PipelinedConnection> last = std::move(connection->m_self);
        }
    };
    uv_close(reinterpret_cast<uv_handle_t *>(&m_socket), onClose);
    uv_close(reinterpret_cast<uv_handle_t *>(&m_timer), onClose);
    m_owner.onConnectionClosed(*this);
}

void PipelinedConnection::armTimer(Duration duration)
{
    const auto onTimer = [](uv_timer_t *timer) {
        const std::shared_ptr<PipelinedConnection> self = static_cast<PipelinedConnection *>(timer->data)->shared_from_this();
        self->onTimeout();
    };
    uv_timer_start(&m_timer, onTimer, static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()), 0);
}

void PipelinedConnection::onTimeout()
{
    if (m_state == State::Open && !m_exchanges.empty()) {
        // Only the request that is being received has made no progress; those before it get their answers.
        if (hasUnfinishedRequest() && m_exchanges.size() < pipelineLimit && !isWriteQueueFull()) {
            refuse(503, "the request did not arrive in time", m_options.unavailableHeaders);
        }
        return;
    }
    if (m_state == State::Open && !hasUnfinishedRequest()) {
        endIdle();
        return;
    }
    close();
}

} // namespace nutmeghinge
