#pragma once

#include "endpoint.h"

#include <kj/async-io.h>
#include <memory>
#include <optional>
#include <vector>

#include <uv.h>

namespace nutmeghinge {

class EventLoop;
struct ByteCounts;
class MemoryBudget;
class MemoryCharge;

/**
 * A TCP connection on the uv loop as a kj stream. Reads ahead into a bounded
 * buffer. A connection error rejects pending and all later calls with a
 * DISCONNECTED exception. One read and one write may be pending at a time.
 */
class UvAsyncStream final : public kj::AsyncIoStream
{
public:
    /** Starts connecting; writes wait until the connection is established. The bytes are counted in traffic, which must outlive the stream. */
    static kj::Own<UvAsyncStream> connect(EventLoop &loop, const Endpoint &to, ByteCounts &traffic);
    /** Accepts the next connection of a listener. Returns null if accepting fails. */
    static kj::Maybe<kj::Own<UvAsyncStream>> accept(EventLoop &loop, uv_stream_t *listener, ByteCounts &traffic);

    UvAsyncStream(EventLoop &loop, ByteCounts &traffic);
    ~UvAsyncStream() noexcept(false);

    /** Charges what is received, until it has been read as whole messages, to the budget, which must outlive the stream. The connection fails if it has no
     * room. */
    void setMemoryBudget(MemoryBudget *budget);
    /** Returns whether the connection failed because the budget had no room. */
    bool isOutOfMemory() const { return m_error == UV_ENOMEM; }
    /** Returns the number of bytes received so far. */
    std::uint64_t bytesReceived() const { return m_bytesReceived; }
    /** Returns whether the peer closed the connection or the connection failed. */
    bool hasEnded() const { return m_endOfFile || m_error; }
    /** Returns the peer's endpoint, or an empty one if the peer has disconnected. */
    Endpoint remoteEndpoint() const;

    kj::Promise<size_t> tryRead(void *buffer, size_t minBytes, size_t maxBytes) override;
    kj::Promise<void> write(const void *buffer, size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    /** Never resolves; the next read or write reports an error. */
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;

private:
    struct Handle;
    struct PendingRead {
        kj::byte *buffer = nullptr;
        std::size_t minBytes = 0;
        std::size_t maxBytes = 0;
        /** Number of bytes already copied to the buffer. */
        std::size_t taken = 0;
        kj::Own<kj::PromiseFulfiller<size_t>> fulfiller;
    };
    struct PendingWrite;

    static void onConnected(uv_connect_t *request, int status);
    static void onAllocate(uv_handle_t *handle, std::size_t suggestedSize, uv_buf_t *buffer);
    static void onReceived(uv_stream_t *handle, ssize_t size, const uv_buf_t *buffer);
    static void onWritten(uv_write_t *request, int status);

    uv_stream_t *stream() const;
    void startReading();
    void stopReading();
    void append(const kj::byte *data, std::size_t size);
    std::size_t takeBuffered(kj::byte *buffer, std::size_t maxBytes);
    void completeRead();
    void countWaiting(std::uint64_t bytes);
    kj::Promise<void> writeLater(std::vector<kj::byte> data);
    void chargeReceived();
    void fail(int status);
    kj::Exception disconnectedException() const;

    EventLoop &m_loop;
    Handle *m_handle;
    ByteCounts &m_traffic;
    std::uint64_t m_bytesReceived = 0;
    /** Bytes that this stream has counted as waiting. */
    std::uint64_t m_waitingBytes = 0;
    std::vector<kj::byte> m_buffer;
    /** Offset of the unread data in m_buffer. */
    std::size_t m_bufferStart = 0;
    std::optional<PendingRead> m_read;
    /** Null without a budget. */
    std::unique_ptr<MemoryCharge> m_charge;
    /** Number of received bytes that last counted as progress. */
    std::uint64_t m_progressAt = 0;
    bool m_connecting = false;
    bool m_reading = false;
    bool m_endOfFile = false;
    /** uv error code of the connection, if it failed. */
    std::optional<int> m_error;
};

} // namespace nutmeghinge
