#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/** Sockets and HTTP/1.1 messages for the stand-ins: blocking calls, one thread per connection. */
namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

struct Address {
    std::string ip;
    std::uint16_t port = 0;
    std::string text() const { return ip + ':' + std::to_string(port); }
};

/** A message of HTTP/1.1. A request has a method and a path, an answer has a status. */
struct Message {
    std::string method;
    std::string path;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /** Returns the value of the first header with this name in lower case; empty if there is none. */
    std::string header(std::string_view lowerCaseName) const;
};

/** Options of a client's connection: a small window and small segments, as on a slow link. */
struct ConnectionOptions {
    int receiveBufferBytes = 0;
    int segmentBytes = 0;
};

/** Owns a connected socket and the bytes that were read beyond the last message. */
class Connection
{
public:
    explicit Connection(int descriptor = -1);
    ~Connection();
    Connection(Connection &&other) noexcept;
    Connection &operator=(Connection &&other) noexcept;
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    static Connection open(const Address &to, Milliseconds timeout, ConnectionOptions options = {});
    bool isOpen() const { return m_descriptor >= 0; }
    bool write(std::string_view bytes) const;
    /** Reads more bytes into the buffer. Returns false at the end of the connection, on a reset or at the deadline. */
    bool readMore(Clock::time_point deadline, std::size_t limit = 65536);
    /** Reads a request or an answer with a stated length. Empty if the connection ends or the deadline passes before. */
    std::optional<Message> read(Clock::time_point deadline);
    /** Reads only the head of a message; its body follows in the buffer. */
    std::optional<Message> readHead(Clock::time_point deadline);
    std::string &buffer() { return m_buffer; }
    /** Returns whether the peer has closed or reset the connection. */
    bool hasPeerLeft() const;
    void reset();
    void close();

private:
    int m_descriptor;
    std::string m_buffer;
};

std::string requestText(const Message &request);
std::string answerText(const Message &answer);

/** Listens at the address and calls the handler with each connection in a thread of its own. The listener lives as long as the process. */
bool listenAt(const Address &address, std::function<void(Connection)> handler);

/** Returns whether the port is free at the address. */
bool isFree(const Address &address);

} // namespace review
