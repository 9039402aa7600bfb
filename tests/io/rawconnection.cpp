#include "rawconnection.h"

#include "eventloop.h"

#include <utility>

namespace nutmeghinge {

namespace {

constexpr std::size_t bufferBytes = 65536;

struct Write {
    uv_write_t request{};
    std::string bytes;
    int *counter = nullptr;
};

void deleteSocket(uv_handle_t *handle)
{
    delete reinterpret_cast<uv_tcp_t *>(handle);
}

} // namespace

RawConnection::RawConnection(EventLoop &loop, const Endpoint &endpoint)
    : m_socket(new uv_tcp_t)
    , m_buffer(bufferBytes)
{
    uv_tcp_init(loop.handle(), m_socket);
    m_socket->data = this;
    m_connect.data = this;
    sockaddr_in address{};
    uv_ip4_addr(endpoint.address.c_str(), endpoint.port, &address);
    uv_tcp_connect(&m_connect, m_socket, reinterpret_cast<sockaddr *>(&address), [](uv_connect_t *request, int status) {
        if (status == UV_ECANCELED) {
            return;
        }
        auto *connection = static_cast<RawConnection *>(request->data);
        if (status < 0) {
            connection->onEnded(status);
            return;
        }
        connection->m_connected = true;
        connection->resume();
        if (!connection->m_pendingBytes.empty()) {
            connection->send(std::exchange(connection->m_pendingBytes, {}));
        }
    });
}

RawConnection::RawConnection(EventLoop &loop, uv_stream_t *listener)
    : m_socket(new uv_tcp_t)
    , m_buffer(bufferBytes)
    , m_connected(true)
{
    uv_tcp_init(loop.handle(), m_socket);
    m_socket->data = this;
    uv_accept(listener, reinterpret_cast<uv_stream_t *>(m_socket));
    resume();
}

RawConnection::~RawConnection()
{
    close();
}

void RawConnection::send(std::string_view bytes)
{
    if (!m_connected) {
        m_pendingBytes.append(bytes);
        return;
    }
    if (m_socket == nullptr) {
        return;
    }
    auto *write = new Write{.request = {}, .bytes = std::string(bytes), .counter = &m_writes};
    ++m_writes;
    write->request.data = write;
    const uv_buf_t buffer = uv_buf_init(write->bytes.data(), static_cast<unsigned>(write->bytes.size()));
    uv_write(&write->request, reinterpret_cast<uv_stream_t *>(m_socket), &buffer, 1, [](uv_write_t *request, int status) {
        auto *finished = static_cast<Write *>(request->data);
        if (status != UV_ECANCELED) {
            --*finished->counter;
        }
        delete finished;
    });
}

void RawConnection::pause()
{
    if (m_socket != nullptr) {
        uv_read_stop(reinterpret_cast<uv_stream_t *>(m_socket));
    }
}

void RawConnection::resume()
{
    if (m_socket == nullptr) {
        return;
    }
    const auto allocate = [](uv_handle_t *handle, std::size_t, uv_buf_t *buffer) {
        std::vector<char> &memory = static_cast<RawConnection *>(handle->data)->m_buffer;
        *buffer = uv_buf_init(memory.data(), static_cast<unsigned>(memory.size()));
    };
    uv_read_start(reinterpret_cast<uv_stream_t *>(m_socket), allocate, [](uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer) {
        auto *connection = static_cast<RawConnection *>(stream->data);
        if (size < 0) {
            connection->onEnded(static_cast<int>(size));
            return;
        }
        connection->m_receivedBytes += static_cast<std::size_t>(size);
        if (!connection->m_discardReceived) {
            connection->m_received.append(buffer->base, static_cast<std::size_t>(size));
        }
        if (connection->m_receivedFunction) {
            connection->m_receivedFunction();
        }
    });
}

void RawConnection::halfClose()
{
    int descriptor = -1;
    uv_fileno(reinterpret_cast<uv_handle_t *>(m_socket), &descriptor);
    shutdown(descriptor, SHUT_WR);
}

void RawConnection::close()
{
    if (m_socket != nullptr) {
        uv_close(reinterpret_cast<uv_handle_t *>(std::exchange(m_socket, nullptr)), deleteSocket);
    }
}

void RawConnection::reset()
{
    if (m_socket != nullptr) {
        uv_tcp_close_reset(std::exchange(m_socket, nullptr), deleteSocket);
    }
}

void RawConnection::onEnded(int status)
{
    m_ended = true;
    m_reset = status != UV_EOF;
    pause();
}

} // namespace nutmeghinge
