#include "uvasyncstream.h"

#include "eventloop.h"
#include "linktraffic.h"
#include "memorycharge.h"
#include "socketaddress.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <memory>

namespace nutmeghinge {

namespace {

constexpr std::size_t chunkBytes = 16384;
constexpr std::size_t readAheadBytes = 65536;
/** A message that is being received makes progress if this many bytes arrive. */
constexpr std::uint64_t progressBytes = 16384;

} // namespace

/** The socket and its read buffer. Lives until uv has closed the socket, which may be after the stream is destroyed. */
struct UvAsyncStream::Handle {
    uv_tcp_t socket{};
    /** Null once the stream is destroyed. */
    UvAsyncStream *stream = nullptr;
    std::array<char, chunkBytes> chunk{};
};

struct UvAsyncStream::PendingWrite {
    uv_write_t request{};
    std::vector<kj::byte> data;
    kj::Own<kj::PromiseFulfiller<void>> fulfiller;
};

namespace {

/** Returns a copy of the pieces' data without the first skipped bytes. */
std::vector<kj::byte> remainderOf(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces, std::size_t skipped)
{
    std::vector<kj::byte> remainder;
    for (const kj::ArrayPtr<const kj::byte> &piece : pieces) {
        const std::size_t skip = std::min(skipped, piece.size());
        skipped -= skip;
        remainder.insert(remainder.end(), piece.begin() + skip, piece.end());
    }
    return remainder;
}

std::size_t sizeOf(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    std::size_t size = 0;
    for (const kj::ArrayPtr<const kj::byte> &piece : pieces) {
        size += piece.size();
    }
    return size;
}

std::vector<uv_buf_t> buffersOf(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    std::vector<uv_buf_t> buffers;
    buffers.reserve(pieces.size());
    for (const kj::ArrayPtr<const kj::byte> &piece : pieces) {
        buffers.push_back(uv_buf_init(reinterpret_cast<char *>(const_cast<kj::byte *>(piece.begin())), static_cast<unsigned>(piece.size())));
    }
    return buffers;
}

} // namespace

kj::Own<UvAsyncStream> UvAsyncStream::connect(EventLoop &loop, const Endpoint &to, ByteCounts &traffic)
{
    auto stream = kj::heap<UvAsyncStream>(loop, traffic);
    const std::optional<SocketAddress> address = SocketAddress::fromEndpoint(to);
    if (!address) {
        stream->fail(UV_EINVAL);
        return stream;
    }
    auto attempt = std::make_unique<uv_connect_t>();
    attempt->data = stream->m_handle;
    const int result = uv_tcp_connect(attempt.get(), &stream->m_handle->socket, address->data(), onConnected);
    if (result != 0) {
        stream->fail(result);
        return stream;
    }
    (void)attempt.release();
    stream->m_connecting = true;
    return stream;
}

kj::Maybe<kj::Own<UvAsyncStream>> UvAsyncStream::accept(EventLoop &loop, uv_stream_t *listener, ByteCounts &traffic)
{
    auto stream = kj::heap<UvAsyncStream>(loop, traffic);
    if (uv_accept(listener, stream->stream()) != 0) {
        return nullptr;
    }
    uv_tcp_nodelay(&stream->m_handle->socket, 1);
    stream->startReading();
    return kj::mv(stream);
}

UvAsyncStream::UvAsyncStream(EventLoop &loop, ByteCounts &traffic)
    : m_loop(loop)
    , m_handle(new Handle)
    , m_traffic(traffic)
{
    m_handle->stream = this;
    uv_tcp_init(loop.handle(), &m_handle->socket);
    m_handle->socket.data = m_handle;
}

UvAsyncStream::~UvAsyncStream() noexcept(false)
{
    m_handle->stream = nullptr;
    countWaiting(0);
    uv_close(reinterpret_cast<uv_handle_t *>(&m_handle->socket), [](uv_handle_t *handle) { delete static_cast<Handle *>(handle->data); });
}

Endpoint UvAsyncStream::remoteEndpoint() const
{
    return SocketAddress::remoteEndpoint(&m_handle->socket);
}

uv_stream_t *UvAsyncStream::stream() const
{
    return reinterpret_cast<uv_stream_t *>(&m_handle->socket);
}

void UvAsyncStream::onConnected(uv_connect_t *request, int status)
{
    const std::unique_ptr<uv_connect_t> attempt(request);
    UvAsyncStream *stream = static_cast<Handle *>(request->data)->stream;
    if (stream == nullptr) {
        return;
    }
    if (status != 0) {
        stream->fail(status);
        return;
    }
    stream->m_connecting = false;
    uv_tcp_nodelay(&stream->m_handle->socket, 1);
    stream->startReading();
}

void UvAsyncStream::onAllocate(uv_handle_t *handle, std::size_t, uv_buf_t *buffer)
{
    auto &chunk = static_cast<Handle *>(handle->data)->chunk;
    *buffer = uv_buf_init(chunk.data(), chunk.size());
}

void UvAsyncStream::onReceived(uv_stream_t *handle, ssize_t size, const uv_buf_t *buffer)
{
    UvAsyncStream *stream = static_cast<Handle *>(handle->data)->stream;
    if (stream == nullptr || size == 0) {
        return;
    }
    if (size == UV_EOF) {
        stream->m_endOfFile = true;
        stream->stopReading();
        stream->completeRead();
        return;
    }
    if (size < 0) {
        stream->fail(static_cast<int>(size));
        return;
    }
    stream->append(reinterpret_cast<const kj::byte *>(buffer->base), static_cast<std::size_t>(size));
    stream->completeRead();
    stream->chargeReceived();
}

void UvAsyncStream::setMemoryBudget(MemoryBudget *budget)
{
    m_charge = std::make_unique<MemoryCharge>(budget, m_loop.now());
    m_charge->setReclaimFunction([this] { fail(UV_ENOMEM); });
}

void UvAsyncStream::chargeReceived()
{
    if (!m_charge || m_error) {
        return;
    }
    const MonotonicTime now = m_loop.now();
    if (m_bytesReceived - m_progressAt >= progressBytes) {
        m_progressAt = m_bytesReceived;
        m_charge->recordProgress(now);
    }
    if (!m_read) {
        m_charge->restart(now);
    }
    if (!m_charge->resize(m_buffer.capacity() + (m_read ? m_read->taken : 0), now)) {
        fail(UV_ENOMEM);
    }
}

void UvAsyncStream::startReading()
{
    if (m_reading || hasEnded()) {
        return;
    }
    const int result = uv_read_start(stream(), onAllocate, onReceived);
    if (result != 0) {
        fail(result);
        return;
    }
    m_reading = true;
}

void UvAsyncStream::stopReading()
{
    uv_read_stop(stream());
    m_reading = false;
}

void UvAsyncStream::append(const kj::byte *data, std::size_t size)
{
    m_bytesReceived += size;
    m_traffic.received += size;
    m_buffer.erase(m_buffer.begin(), m_buffer.begin() + static_cast<std::ptrdiff_t>(m_bufferStart));
    m_bufferStart = 0;
    m_buffer.insert(m_buffer.end(), data, data + size);
    if (m_buffer.size() - m_bufferStart >= readAheadBytes) {
        stopReading();
    }
}

std::size_t UvAsyncStream::takeBuffered(kj::byte *buffer, std::size_t maxBytes)
{
    const std::size_t size = std::min(maxBytes, m_buffer.size() - m_bufferStart);
    if (size > 0) {
        std::memcpy(buffer, m_buffer.data() + m_bufferStart, size);
    }
    m_bufferStart += size;
    if (m_bufferStart == m_buffer.size()) {
        m_buffer.clear();
        m_bufferStart = 0;
    }
    return size;
}

kj::Promise<size_t> UvAsyncStream::tryRead(void *buffer, size_t minBytes, size_t maxBytes)
{
    auto *bytes = static_cast<kj::byte *>(buffer);
    const std::size_t taken = takeBuffered(bytes, maxBytes);
    if (taken >= minBytes || m_endOfFile) {
        return taken;
    }
    if (m_error) {
        return disconnectedException();
    }
    auto pair = kj::newPromiseAndFulfiller<size_t>();
    m_read = PendingRead{bytes, minBytes, maxBytes, taken, kj::mv(pair.fulfiller)};
    if (!m_connecting) {
        startReading();
    }
    return kj::mv(pair.promise);
}

void UvAsyncStream::completeRead()
{
    if (!m_read) {
        return;
    }
    if (!m_read->fulfiller->isWaiting()) {
        m_read.reset();
        return;
    }
    PendingRead &read = *m_read;
    read.taken += takeBuffered(read.buffer + read.taken, read.maxBytes - read.taken);
    if (read.taken < read.minBytes && !m_endOfFile) {
        return;
    }
    read.fulfiller->fulfill(std::size_t(read.taken));
    m_read.reset();
}

kj::Promise<void> UvAsyncStream::write(const void *buffer, size_t size)
{
    const auto piece = kj::arrayPtr(static_cast<const kj::byte *>(buffer), size);
    return write(kj::arrayPtr(&piece, 1));
}

kj::Promise<void> UvAsyncStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    if (m_error) {
        return disconnectedException();
    }
    const std::size_t size = sizeOf(pieces);
    m_traffic.sent += size;
    const std::vector<uv_buf_t> buffers = buffersOf(pieces);
    const int sent = uv_try_write(stream(), buffers.data(), static_cast<unsigned>(buffers.size()));
    if (sent < 0 && sent != UV_EAGAIN) {
        fail(sent);
        return disconnectedException();
    }
    const std::size_t skipped = sent < 0 ? 0 : static_cast<std::size_t>(sent);
    if (skipped == size) {
        return kj::READY_NOW;
    }
    return writeLater(remainderOf(pieces, skipped));
}

void UvAsyncStream::countWaiting(std::uint64_t bytes)
{
    m_traffic.waiting += bytes - m_waitingBytes;
    m_waitingBytes = bytes;
}

kj::Promise<void> UvAsyncStream::writeLater(std::vector<kj::byte> data)
{
    auto pair = kj::newPromiseAndFulfiller<void>();
    auto pending = std::make_unique<PendingWrite>();
    pending->data = std::move(data);
    pending->fulfiller = kj::mv(pair.fulfiller);
    countWaiting(m_waitingBytes + pending->data.size());
    const uv_buf_t buffer = uv_buf_init(reinterpret_cast<char *>(pending->data.data()), static_cast<unsigned>(pending->data.size()));
    const int result = uv_write(&pending->request, stream(), &buffer, 1, onWritten);
    if (result != 0) {
        countWaiting(m_waitingBytes - pending->data.size());
        fail(result);
        return disconnectedException();
    }
    (void)pending.release();
    return kj::mv(pair.promise);
}

void UvAsyncStream::onWritten(uv_write_t *request, int status)
{
    const std::unique_ptr<PendingWrite> pending(reinterpret_cast<PendingWrite *>(request));
    UvAsyncStream *stream = static_cast<Handle *>(request->handle->data)->stream;
    if (stream == nullptr) {
        return;
    }
    stream->countWaiting(stream->m_waitingBytes - pending->data.size());
    if (status == 0) {
        pending->fulfiller->fulfill();
        return;
    }
    stream->fail(status);
    pending->fulfiller->reject(stream->disconnectedException());
}

kj::Promise<void> UvAsyncStream::whenWriteDisconnected()
{
    return kj::NEVER_DONE;
}

void UvAsyncStream::shutdownWrite()
{
    auto request = std::make_unique<uv_shutdown_t>();
    const auto done = [](uv_shutdown_t *finished, int) { delete finished; };
    if (uv_shutdown(request.get(), stream(), done) == 0) {
        (void)request.release();
    }
}

void UvAsyncStream::fail(int status)
{
    if (m_error) {
        return;
    }
    m_error = status;
    m_connecting = false;
    stopReading();
    if (m_charge) {
        m_charge->release();
    }
    if (m_read) {
        m_read->fulfiller->reject(disconnectedException());
        m_read.reset();
    }
}

kj::Exception UvAsyncStream::disconnectedException() const
{
    return {kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__, kj::str(uv_strerror(m_error.value_or(UV_ECANCELED)))};
}

} // namespace nutmeghinge
