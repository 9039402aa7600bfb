#include "soakrelay.h"

#include "blockinghttp.h"

#include <algorithm>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace {

/** Longest time until a relay thread notices a changed setting or the end of the relay. */
constexpr int pollMilliseconds = 20;

} // namespace

SoakRelay::SoakRelay(std::string destination)
    : m_destination(std::move(destination))
{
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    const bool listens = bind(m_listener, reinterpret_cast<const sockaddr *>(&address), length) == 0 && listen(m_listener, SOMAXCONN) == 0
                         && getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &length) == 0;
    if (!listens) {
        throw std::runtime_error("soak relay: cannot listen on loopback");
    }
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] { acceptLoop(); });
}

SoakRelay::~SoakRelay()
{
    m_stopping = true;
    m_acceptor.join();
    close(m_listener);
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

std::string SoakRelay::endpoint() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

void SoakRelay::setDestination(const std::string &destination)
{
    const std::lock_guard lock(m_mutex);
    m_destination = destination;
}

void SoakRelay::resetAll()
{
    const std::lock_guard lock(m_mutex);
    for (const int socket : m_sockets) {
        // With a linger time of zero, closing the socket resets the connection.
        const linger none{1, 0};
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &none, sizeof none);
        shutdown(socket, SHUT_RDWR);
    }
}

void SoakRelay::acceptLoop()
{
    while (!m_stopping) {
        pollfd listener{m_listener, POLLIN, 0};
        if (poll(&listener, 1, pollMilliseconds) <= 0) {
            continue;
        }
        const int caller = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (caller >= 0) {
            m_threads.emplace_back([this, caller] { relayConnection(caller); });
        }
    }
}

void SoakRelay::relayConnection(int caller)
{
    const std::uint64_t silencesBefore = m_silences;
    std::string destination;
    {
        const std::lock_guard lock(m_mutex);
        destination = m_destination;
    }
    const int callee = connectTo(destination, 0);
    if (callee < 0) {
        close(caller);
        return;
    }
    addSocket(caller);
    addSocket(callee);
    bool open = true;
    while (open && !m_stopping) {
        std::array<pollfd, 2> both{{{caller, POLLIN, 0}, {callee, POLLIN, 0}}};
        if (m_stalled || m_silences != silencesBefore) {
            std::this_thread::sleep_for(std::chrono::milliseconds(pollMilliseconds));
            continue;
        }
        if (poll(both.data(), both.size(), pollMilliseconds) <= 0) {
            continue;
        }
        open = (both[0].revents == 0 || relayChunk(caller, callee)) && (both[1].revents == 0 || relayChunk(callee, caller));
    }
    for (const int socket : {caller, callee}) {
        removeSocket(socket);
        close(socket);
    }
}

/** Relays the bytes that have arrived. Returns false if the connection has ended. */
bool SoakRelay::relayChunk(int from, int to)
{
    std::array<char, 65536> chunk{};
    const ssize_t count = recv(from, chunk.data(), chunk.size(), 0);
    if (count <= 0) {
        return false;
    }
    if (m_delayMs > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(m_delayMs));
    }
    return send(to, chunk.data(), static_cast<std::size_t>(count), MSG_NOSIGNAL) == count;
}

void SoakRelay::addSocket(int socket)
{
    const std::lock_guard lock(m_mutex);
    m_sockets.push_back(socket);
}

void SoakRelay::removeSocket(int socket)
{
    const std::lock_guard lock(m_mutex);
    m_sockets.erase(std::remove(m_sockets.begin(), m_sockets.end(), socket), m_sockets.end());
}
