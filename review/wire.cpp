#include "wire.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

int millisecondsUntil(Clock::time_point deadline)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count();
    return static_cast<int>(std::clamp<std::int64_t>(left, 0, 600000));
}

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::ranges::transform(lower, lower.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

std::string trimmed(std::string_view text)
{
    const std::size_t begin = std::min(text.find_first_not_of(" \t"), text.size());
    const std::size_t end = text.find_last_not_of(" \t\r") + 1;
    return std::string(text.substr(begin, end > begin ? end - begin : 0));
}

Message parseHead(std::string_view head)
{
    Message message;
    const std::size_t lineEnd = std::min(head.find("\r\n"), head.size());
    const std::string_view first = head.substr(0, lineEnd);
    const std::size_t space = std::min(first.find(' '), first.size());
    const std::string_view rest = first.substr(std::min(space + 1, first.size()));
    if (first.starts_with("HTTP/")) {
        message.status = std::atoi(std::string(rest).c_str());
    } else {
        message.method = first.substr(0, space);
        message.path = rest.substr(0, rest.find(' '));
    }
    std::size_t at = lineEnd + 2;
    while (at < head.size()) {
        const std::size_t end = std::min(head.find("\r\n", at), head.size());
        const std::string_view line = head.substr(at, end - at);
        const std::size_t colon = line.find(':');
        if (colon != std::string_view::npos) {
            message.headers.emplace_back(lowerCase(line.substr(0, colon)), trimmed(line.substr(colon + 1)));
        }
        at = end + 2;
    }
    return message;
}

void writeHeaders(std::string &text, const Message &message)
{
    for (const auto &[name, value] : message.headers) {
        text += name;
        text += ": ";
        text += value;
        text += "\r\n";
    }
}

} // namespace

std::string Message::header(std::string_view lowerCaseName) const
{
    for (const auto &[name, value] : headers) {
        if (name == lowerCaseName) {
            return value;
        }
    }
    return {};
}

Connection::Connection(int descriptor)
    : m_descriptor(descriptor)
{
}

Connection::~Connection()
{
    close();
}

Connection::Connection(Connection &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
    , m_buffer(std::move(other.m_buffer))
{
}

Connection &Connection::operator=(Connection &&other) noexcept
{
    close();
    m_descriptor = std::exchange(other.m_descriptor, -1);
    m_buffer = std::move(other.m_buffer);
    return *this;
}

Connection Connection::open(const Address &to, Milliseconds timeout, ConnectionOptions options)
{
    Connection connection(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    setsockopt(connection.m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (options.receiveBufferBytes > 0) {
        setsockopt(connection.m_descriptor, SOL_SOCKET, SO_RCVBUF, &options.receiveBufferBytes, sizeof(int));
    }
    if (options.segmentBytes > 0) {
        setsockopt(connection.m_descriptor, IPPROTO_TCP, TCP_MAXSEG, &options.segmentBytes, sizeof(int));
    }
    const sockaddr_in address = socketAddress(to);
    if (connect(connection.m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 && errno != EINPROGRESS) {
        connection.close();
        return connection;
    }
    pollfd waiting{connection.m_descriptor, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof(error);
    const bool ready = poll(&waiting, 1, static_cast<int>(timeout.count())) == 1;
    if (!ready || getsockopt(connection.m_descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        connection.close();
        return connection;
    }
    fcntl(connection.m_descriptor, F_SETFL, fcntl(connection.m_descriptor, F_GETFL) & ~O_NONBLOCK);
    return connection;
}

bool Connection::write(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ssize_t written = send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (written <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

bool Connection::readMore(Clock::time_point deadline, std::size_t limit)
{
    pollfd waiting{m_descriptor, POLLIN, 0};
    if (m_descriptor < 0 || poll(&waiting, 1, millisecondsUntil(deadline)) != 1) {
        return false;
    }
    std::string bytes(limit, '\0');
    const ssize_t size = recv(m_descriptor, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
        return false;
    }
    m_buffer.append(bytes, 0, static_cast<std::size_t>(size));
    return true;
}

std::optional<Message> Connection::readHead(Clock::time_point deadline)
{
    std::size_t end = m_buffer.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!readMore(deadline)) {
            return std::nullopt;
        }
        end = m_buffer.find("\r\n\r\n");
    }
    Message message = parseHead(std::string_view(m_buffer).substr(0, end));
    m_buffer.erase(0, end + 4);
    return message;
}

std::optional<Message> Connection::read(Clock::time_point deadline)
{
    std::optional<Message> message = readHead(deadline);
    if (!message) {
        return std::nullopt;
    }
    const std::size_t size = static_cast<std::size_t>(std::atoll(message->header("content-length").c_str()));
    while (m_buffer.size() < size) {
        if (!readMore(deadline)) {
            return std::nullopt;
        }
    }
    message->body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return message;
}

bool Connection::hasPeerLeft() const
{
    char byte = 0;
    const ssize_t size = recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::reset()
{
    const linger now{1, 0};
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close();
}

void Connection::close()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
    }
    m_descriptor = -1;
}

std::string requestText(const Message &request)
{
    std::string text = request.method + ' ' + request.path + " HTTP/1.1\r\n";
    writeHeaders(text, request);
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        text += "content-length: " + std::to_string(request.body.size()) + "\r\n";
    }
    return text + "\r\n" + request.body;
}

std::string answerText(const Message &answer)
{
    std::string text = "HTTP/1.1 " + std::to_string(answer.status) + (answer.status == 200 ? " OK" : " Status") + "\r\n";
    writeHeaders(text, answer);
    text += "content-length: " + std::to_string(answer.body.size()) + "\r\n\r\n";
    return text + answer.body;
}

bool listenAt(const Address &address, std::function<void(Connection)> handler)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in bound = socketAddress(address);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&bound), sizeof(bound)) != 0 || listen(descriptor, 512) != 0) {
        ::close(descriptor);
        return false;
    }
    std::thread([descriptor, handler = std::move(handler)] {
        for (;;) {
            const int accepted = accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                std::this_thread::sleep_for(Milliseconds(5));
                continue;
            }
            const int nodelay = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &nodelay, sizeof(nodelay));
            std::thread([handler, accepted] { handler(Connection(accepted)); }).detach();
        }
    }).detach();
    return true;
}

bool isFree(const Address &address)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in bound = socketAddress(address);
    const bool free = bind(descriptor, reinterpret_cast<const sockaddr *>(&bound), sizeof(bound)) == 0;
    ::close(descriptor);
    return free;
}

} // namespace review
