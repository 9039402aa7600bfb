#include "tcprelay.h"

#include "socketaddress.h"

#include <array>
#include <cassert>
#include <cstring>

namespace nutmeghinge {

/** The two sockets of one relayed connection. Keeps itself alive until both are closed. */
struct TcpRelay::Pair {
    uv_tcp_t caller{};
    uv_tcp_t callee{};
    uv_connect_t connect{};
    std::array<char, 65536> chunk{};
    EventLoop *loop = nullptr;
    Duration delay{0};
    bool stalled = false;
    int ended = 0;
    int open = 2;
    std::shared_ptr<Pair> self;

    uv_tcp_t *other(uv_stream_t *socket) { return reinterpret_cast<uv_tcp_t *>(socket) == &caller ? &callee : &caller; }

    void close()
    {
        for (uv_tcp_t *socket : {&caller, &callee}) {
            auto *handle = reinterpret_cast<uv_handle_t *>(socket);
            if (uv_is_closing(handle) == 0) {
                uv_close(handle, closed);
            }
        }
    }

    static void closed(uv_handle_t *handle)
    {
        auto *pair = static_cast<Pair *>(handle->data);
        if (--pair->open == 0) {
            pair->self.reset();
        }
    }

    static void allocate(uv_handle_t *handle, std::size_t, uv_buf_t *buffer)
    {
        auto &chunk = static_cast<Pair *>(handle->data)->chunk;
        *buffer = uv_buf_init(chunk.data(), chunk.size());
    }

    static void received(uv_stream_t *socket, ssize_t size, const uv_buf_t *buffer)
    {
        auto *pair = static_cast<Pair *>(socket->data);
        if (pair->stalled || size == 0) {
            return;
        }
        if (pair->delay > Duration::zero()) {
            pair->transferLater(socket, size, buffer->base);
            return;
        }
        if (size < 0) {
            pair->close();
            return;
        }
        pair->write(pair->other(socket), std::string(buffer->base, static_cast<std::size_t>(size)));
    }

    /** Passes bytes, or the end of one direction, to the other socket after the delay. */
    void transferLater(uv_stream_t *socket, ssize_t size, const char *data)
    {
        uv_tcp_t *to = other(socket);
        std::string bytes = size > 0 ? std::string(data, static_cast<std::size_t>(size)) : std::string();
        loop->callLater(delay, [pair = self, to, size, bytes] {
            if (uv_is_closing(reinterpret_cast<uv_handle_t *>(to)) != 0) {
                return;
            }
            if (size > 0) {
                pair->write(to, bytes);
            } else if (size == UV_EOF && ++pair->ended < 2) {
                auto *request = new uv_shutdown_t;
                if (uv_shutdown(request, reinterpret_cast<uv_stream_t *>(to), [](uv_shutdown_t *done, int) { delete done; }) != 0) {
                    delete request;
                }
            } else {
                pair->close();
            }
        });
    }

    void write(uv_tcp_t *socket, std::string bytes)
    {
        struct Write {
            uv_write_t request{};
            std::string data;
        };
        auto write = std::make_unique<Write>();
        write->data = std::move(bytes);
        const uv_buf_t data = uv_buf_init(write->data.data(), static_cast<unsigned>(write->data.size()));
        auto *to = reinterpret_cast<uv_stream_t *>(socket);
        if (uv_write(&write->request, to, &data, 1, [](uv_write_t *request, int) { delete reinterpret_cast<Write *>(request); }) == 0) {
            (void)write.release();
        }
    }
};

TcpRelay::TcpRelay(EventLoop &loop, Endpoint to)
    : m_loop(loop)
    , m_to(std::move(to))
    , m_listener(new uv_tcp_t)
{
    uv_tcp_init(loop.handle(), m_listener);
    m_listener->data = this;
    uv_tcp_bind(m_listener, SocketAddress::fromEndpoint({"127.0.0.1", 0})->data(), 0);
    const auto waiting = [](uv_stream_t *listener, int) { static_cast<TcpRelay *>(listener->data)->acceptPair(); };
    const int result = uv_listen(reinterpret_cast<uv_stream_t *>(m_listener), 16, waiting);
    assert(result == 0);
    (void)result;
    m_endpoint = SocketAddress::localEndpoint(m_listener);
}

TcpRelay::~TcpRelay()
{
    closeCurrent();
    uv_close(reinterpret_cast<uv_handle_t *>(m_listener), [](uv_handle_t *handle) { delete reinterpret_cast<uv_tcp_t *>(handle); });
}

void TcpRelay::acceptPair()
{
    const auto pair = std::make_shared<Pair>();
    pair->self = pair;
    for (uv_tcp_t *socket : {&pair->caller, &pair->callee}) {
        uv_tcp_init(m_loop.handle(), socket);
        socket->data = pair.get();
    }
    uv_accept(reinterpret_cast<uv_stream_t *>(m_listener), reinterpret_cast<uv_stream_t *>(&pair->caller));
    ++m_accepted;
    pair->stalled = m_stallNew;
    pair->delay = m_delayNew;
    pair->loop = &m_loop;
    m_pairs.push_back(pair);
    const auto connected = [](uv_connect_t *request, int status) {
        auto *connectedPair = static_cast<Pair *>(request->handle->data);
        if (status != 0) {
            connectedPair->close();
            return;
        }
        for (uv_tcp_t *socket : {&connectedPair->caller, &connectedPair->callee}) {
            uv_read_start(reinterpret_cast<uv_stream_t *>(socket), Pair::allocate, Pair::received);
        }
    };
    uv_tcp_connect(&pair->connect, &pair->callee, SocketAddress::fromEndpoint(m_to)->data(), connected);
}

void TcpRelay::stallCurrent()
{
    for (const std::shared_ptr<Pair> &pair : m_pairs) {
        pair->stalled = true;
    }
}

void TcpRelay::closeCurrent()
{
    for (const std::shared_ptr<Pair> &pair : m_pairs) {
        pair->close();
    }
    m_pairs.clear();
}

} // namespace nutmeghinge
