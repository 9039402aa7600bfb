#pragma once

#include "endpoint.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <uv.h>
#include <vector>

namespace nutmeghinge {

class EventLoop;

/** A TCP connection that sends raw bytes and records the received ones. */
class RawConnection
{
public:
    /** Connects to the endpoint. */
    RawConnection(EventLoop &loop, const Endpoint &endpoint);
    /** Accepts a connection from the listener. */
    RawConnection(EventLoop &loop, uv_stream_t *listener);
    ~RawConnection();
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    void send(std::string_view bytes);
    /** Stops reading until resume() is called, to simulate a slow reader. */
    void pause();
    void resume();
    /** Shuts down the sending direction only. */
    void halfClose();
    void close();
    /** Closes the connection with a reset. */
    void reset();
    /** Makes the connection count received bytes without storing them. */
    void discardReceived() { m_discardReceived = true; }
    /** Sets the function that is called after each read. */
    void setReceivedFunction(std::function<void()> function) { m_receivedFunction = std::move(function); }

    std::string &received() { return m_received; }
    std::size_t receivedBytes() const { return m_receivedBytes; }
    /** Returns whether the peer closed or reset the connection, or the connection failed. */
    bool isEnded() const { return m_ended; }
    bool wasReset() const { return m_reset; }
    bool isWriting() const { return m_writes != 0; }

private:
    void onEnded(int status);

    uv_tcp_t *m_socket;
    uv_connect_t m_connect{};
    std::string m_received;
    std::size_t m_receivedBytes = 0;
    std::vector<char> m_buffer;
    std::string m_pendingBytes;
    std::function<void()> m_receivedFunction;
    int m_writes = 0;
    bool m_connected = false;
    bool m_discardReceived = false;
    bool m_ended = false;
    bool m_reset = false;
};

} // namespace nutmeghinge
