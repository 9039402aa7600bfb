#include "blockinghttp.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <sstream>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace {

std::string toText(const BlockingRequest &request, bool keepAlive = false)
{
    std::ostringstream text;
    text << request.method << ' ' << request.path << " HTTP/1.1\r\n" << (keepAlive ? "" : "connection: close\r\n");
    if (!request.headers.contains("host")) {
        text << "host: localhost\r\n";
    }
    for (const auto &[name, value] : request.headers) {
        text << name << ": " << value << "\r\n";
    }
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        text << "content-length: " << request.body.size() << "\r\n";
    }
    text << "\r\n" << request.body;
    return text.str();
}

std::string receiveAll(int descriptor)
{
    std::string all;
    char buffer[65536];
    ssize_t count = 0;
    while ((count = recv(descriptor, buffer, sizeof buffer, 0)) > 0) {
        all.append(buffer, static_cast<std::size_t>(count));
    }
    return all;
}

std::string decodeChunks(const std::string &text, bool &whole)
{
    std::string body;
    std::size_t position = 0;
    while (position < text.size()) {
        const std::size_t lineEnd = text.find("\r\n", position);
        if (lineEnd == std::string::npos) {
            break;
        }
        const std::size_t size = std::stoul(text.substr(position, lineEnd - position), nullptr, 16);
        if (size == 0) {
            whole = true;
            break;
        }
        body += text.substr(lineEnd + 2, size);
        position = lineEnd + 2 + size + 2;
    }
    return body;
}

void readHead(const std::string &head, BlockingAnswer &answer)
{
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    answer.status = std::stoi(line.substr(line.find(' ') + 1));
    while (std::getline(lines, line) && line != "\r") {
        const std::size_t colon = line.find(':');
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
        const std::size_t begin = line.find_first_not_of(' ', colon + 1);
        answer.headers[name] = line.substr(begin, line.find_last_not_of('\r') + 1 - begin);
    }
}

} // namespace

int connectTo(const std::string &endpoint, int timeoutSeconds)
{
    const std::size_t colon = endpoint.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(endpoint.substr(colon + 1))));
    inet_pton(AF_INET, endpoint.substr(0, colon).c_str(), &address.sin_addr);
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval timeout{timeoutSeconds, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

KeepAliveConnection::KeepAliveConnection(const std::string &endpoint, int timeoutSeconds)
    : m_descriptor(connectTo(endpoint, timeoutSeconds))
{
}

KeepAliveConnection::~KeepAliveConnection()
{
    end();
}

void KeepAliveConnection::end()
{
    if (m_descriptor >= 0) {
        close(m_descriptor);
        m_descriptor = -1;
    }
}

BlockingAnswer KeepAliveConnection::send(const BlockingRequest &request)
{
    BlockingAnswer answer;
    const std::string text = toText(request, true);
    ::send(m_descriptor, text.data(), text.size(), MSG_NOSIGNAL);
    std::string all;
    std::size_t length = std::string::npos;
    while (all.size() < length) {
        std::array<char, 65536> chunk{};
        const ssize_t count = recv(m_descriptor, chunk.data(), chunk.size(), 0);
        if (count <= 0) {
            end();
            return answer;
        }
        answer.begun = true;
        all.append(chunk.data(), static_cast<std::size_t>(count));
        const std::size_t headEnd = all.find("\r\n\r\n");
        if (answer.status == 0 && headEnd != std::string::npos) {
            readHead(all.substr(0, headEnd + 2), answer);
            const auto stated = answer.headers.find("content-length");
            length = headEnd + 4 + (stated == answer.headers.end() ? 0 : std::stoul(stated->second));
        }
    }
    answer.body = all.substr(all.find("\r\n\r\n") + 4);
    answer.whole = true;
    if (const auto connection = answer.headers.find("connection"); connection != answer.headers.end() && connection->second == "close") {
        end();
    }
    return answer;
}

BlockingAnswer sendBlocking(const std::string &endpoint, const BlockingRequest &request)
{
    BlockingAnswer answer;
    const int descriptor = connectTo(endpoint, request.timeoutSeconds);
    if (descriptor < 0) {
        return answer;
    }
    const std::string text = toText(request);
    send(descriptor, text.data(), text.size(), MSG_NOSIGNAL);
    const std::string all = receiveAll(descriptor);
    close(descriptor);
    const std::size_t headEnd = all.find("\r\n\r\n");
    if (headEnd == std::string::npos) {
        return answer;
    }
    readHead(all.substr(0, headEnd + 2), answer);
    answer.body = all.substr(headEnd + 4);
    if (const auto encoding = answer.headers.find("transfer-encoding"); encoding != answer.headers.end()) {
        answer.body = decodeChunks(answer.body, answer.whole);
    } else if (const auto length = answer.headers.find("content-length"); length != answer.headers.end()) {
        answer.whole = answer.body.size() == std::stoul(length->second);
    } else {
        answer.whole = true;
    }
    return answer;
}
