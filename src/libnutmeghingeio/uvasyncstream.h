#pragma once

#include "endpoint.h"

#include <kj/async-io.h>
#include <optional>
#include <vector>

#include <uv.h>

namespace nutmeghinge {

class EventLoop;

/**
 * A TCP connection on the uv loop as a kj stream. Reads ahead into a bounded
 * buffer; faults of the connection reject what is pending and all later calls
 * with a DISCONNECTED exception. One read and one write may be pending.
 */
class UvAsyncStream final : public kj::AsyncIoStream
{
public:
    /** Starts to connect; until that is done writes wait. bytesSent is added to with each write and must live longer. */
    static kj::Own<UvAsyncStream> connect(EventLoop &loop, const Endpoint &to, std::uint64_t &bytesSent);
    /** Takes the next connection of a listener; null where it has gone. */
    static kj::Maybe<kj::Own<UvAsyncStream>> accept(EventLoop &loop, uv_stream_t *listener, std::uint64_t &bytesSent);

    UvAsyncStream(EventLoop &loop, std::uint64_t &bytesSent);
    ~UvAsyncStream() noexcept(false);

    /** Bytes received so far. */
    std::uint64_t bytesReceived() const { return m_bytesReceived; }
    /** The other side closed the connection, or it failed. */
    bool hasEnded() const { return m_endOfFile || m_fault; }
    Endpoint remoteEndpoint() const;

    kj::Promise<size_t> tryRead(void *buffer, size_t minBytes, size_t maxBytes) override;
    kj::Promise<void> write(const void *buffer, size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    /** Never resolves: faults show at the next read or write. */
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;

private:
    struct Handle;
    struct PendingRead {
        kj::byte *buffer = nullptr;
        std::size_t minBytes = 0;
        std::size_t maxBytes = 0;
        /** Bytes already in the buffer. */
        std::size_t taken = 0;
        kj::Own<kj::PromiseFulfiller<size_t>> fulfiller;
    };
    struct PendingWrite;

    static void connected(uv_connect_t *request, int status);
    static void allocate(uv_handle_t *handle, std::size_t suggestedSize, uv_buf_t *buffer);
    static void received(uv_stream_t *handle, ssize_t size, const uv_buf_t *buffer);
    static void written(uv_write_t *request, int status);

    uv_stream_t *stream() const;
    void startReading();
    void stopReading();
    void append(const kj::byte *data, std::size_t size);
    std::size_t takeBuffered(kj::byte *buffer, std::size_t maxBytes);
    void completeRead();
    kj::Promise<void> writeLater(std::vector<kj::byte> data);
    void fail(int status);
    kj::Exception faultException() const;

    Handle *m_handle;
    std::uint64_t &m_bytesSent;
    std::uint64_t m_bytesReceived = 0;
    std::vector<kj::byte> m_buffer;
    /** Start of what is unread in m_buffer. */
    std::size_t m_bufferStart = 0;
    std::optional<PendingRead> m_read;
    bool m_connecting = false;
    bool m_reading = false;
    bool m_endOfFile = false;
    /** uv's code of the connection's fault. */
    std::optional<int> m_fault;
};

} // namespace nutmeghinge
