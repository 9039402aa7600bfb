#include "clientcrowd.h"

#include "blockinghttp.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <poll.h>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace {

constexpr std::size_t blockBytes = 65536;
constexpr std::size_t keptAnswerBytes = 65536;
constexpr int pollMs = 100;
constexpr auto quietTime = std::chrono::seconds(2);

std::string repeat(const std::string &unit)
{
    std::string block;
    while (!unit.empty() && block.size() < blockBytes) {
        block += unit;
    }
    return block;
}

bool isTemporary(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

} // namespace

ClientCrowd::ClientCrowd(std::string endpoint, std::size_t clients, ClientStream stream, Reading reading)
    : m_endpoint(std::move(endpoint))
    , m_stream(std::move(stream))
    , m_reading(reading)
    , m_block(repeat(m_stream.unit))
    , m_clients(clients)
{
}

ClientCrowd::~ClientCrowd()
{
    close();
}

std::uint64_t ClientCrowd::streamSize() const
{
    return m_stream.prefix.size() + m_stream.unit.size() * m_stream.units + m_stream.end.size();
}

void ClientCrowd::connectAll()
{
    for (Client &client : m_clients) {
        client.descriptor = connectTo(m_endpoint, 0);
        client.disconnected = client.descriptor < 0;
        if (client.descriptor >= 0) {
            fcntl(client.descriptor, F_SETFL, O_NONBLOCK);
        }
    }
}

void ClientCrowd::run()
{
    connectAll();
    const std::uint64_t size = streamSize();
    auto lastMove = std::chrono::steady_clock::now();
    std::vector<pollfd> polled(m_clients.size());
    while (std::chrono::steady_clock::now() - lastMove < quietTime) {
        for (std::size_t index = 0; index < m_clients.size(); ++index) {
            const Client &client = m_clients[index];
            const bool wantsToSend = !client.disconnected && client.sent < size;
            polled[index].fd = client.disconnected ? -1 : client.descriptor;
            polled[index].events = static_cast<short>((wantsToSend ? POLLOUT : 0) | (m_reading == Reading::Yes ? POLLIN : 0));
        }
        poll(polled.data(), polled.size(), pollMs);
        for (std::size_t index = 0; index < m_clients.size(); ++index) {
            Client &client = m_clients[index];
            const bool received = (polled[index].revents & (POLLIN | POLLHUP | POLLERR)) != 0 && receive(client);
            const bool sent = (polled[index].revents & POLLOUT) != 0 && send(client);
            if (received || sent) {
                lastMove = std::chrono::steady_clock::now();
            }
        }
    }
}

bool ClientCrowd::send(Client &client) const
{
    const std::uint64_t unitsSize = m_stream.unit.size() * m_stream.units;
    bool moved = false;
    while (!client.disconnected && client.sent < streamSize()) {
        std::string_view part;
        std::uint64_t position = client.sent;
        if (position < m_stream.prefix.size()) {
            part = std::string_view(m_stream.prefix).substr(position);
        } else if ((position -= m_stream.prefix.size()) < unitsSize) {
            const std::uint64_t offset = position % m_stream.unit.size();
            part = std::string_view(m_block).substr(offset, std::min<std::uint64_t>(m_block.size() - offset, unitsSize - position));
        } else {
            part = std::string_view(m_stream.end).substr(position - unitsSize);
        }
        const ssize_t count = ::send(client.descriptor, part.data(), part.size(), MSG_NOSIGNAL);
        if (count < 0) {
            client.disconnected = !isTemporary(errno);
            return moved;
        }
        client.sent += static_cast<std::uint64_t>(count);
        moved = true;
    }
    return moved;
}

bool ClientCrowd::receive(Client &client) const
{
    std::array<char, blockBytes> buffer{};
    const ssize_t count = recv(client.descriptor, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
        client.disconnected = client.disconnected || count == 0 || !isTemporary(errno);
        return false;
    }
    const std::size_t kept = std::min(static_cast<std::size_t>(count), keptAnswerBytes - std::min(keptAnswerBytes, client.received.size()));
    client.received.append(buffer.data(), kept);
    return true;
}

std::size_t ClientCrowd::disconnected() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_clients, &Client::disconnected));
}

std::string ClientCrowd::firstAnswer() const
{
    const auto found = std::ranges::find_if(m_clients, [](const Client &client) { return !client.received.empty(); });
    return found == m_clients.end() ? std::string() : found->received;
}

void ClientCrowd::close()
{
    for (Client &client : m_clients) {
        if (client.descriptor >= 0) {
            ::close(client.descriptor);
            client.descriptor = -1;
        }
        client.disconnected = true;
    }
}
