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

/** A TCP connection that sends and receives bytes as the test says. */
class RawConnection
{
public:
    /** Connects to the endpoint. */
    RawConnection(EventLoop &loop, const Endpoint &endpoint);
    /** Takes a connection from the listener. */
    RawConnection(EventLoop &loop, uv_stream_t *listener);
    ~RawConnection();
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    void send(std::string_view bytes);
    /** Stops and starts reading, as a slow reader does. */
    void pause();
    void resume();
    /** Ends the direction to the other side only. */
    void halfClose();
    void close();
    /** Closes so that the other side sees a reset. */
    void reset();
    /** Counts received bytes without keeping them. */
    void discardReceived() { m_discards = true; }
    /** Called with each received part. */
    void setReceivedFunction(std::function<void()> function) { m_receivedFunction = std::move(function); }

    std::string &received() { return m_received; }
    std::size_t receivedBytes() const { return m_receivedBytes; }
    /** The other side ended or reset the connection, or it was refused. */
    bool isEnded() const { return m_ended; }
    bool wasReset() const { return m_reset; }
    bool isWriting() const { return m_writes != 0; }

private:
    void ended(int status);

    uv_tcp_t *m_socket;
    uv_connect_t m_connect{};
    std::string m_received;
    std::size_t m_receivedBytes = 0;
    std::vector<char> m_buffer;
    std::string m_beforeConnect;
    std::function<void()> m_receivedFunction;
    int m_writes = 0;
    bool m_connected = false;
    bool m_discards = false;
    bool m_ended = false;
    bool m_reset = false;
};

} // namespace nutmeghinge
