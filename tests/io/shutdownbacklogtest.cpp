#include "eventloop.h"
#include "httpexchange.h"
#include "httpserver.h"
#include "pipelinedserver.h"
#include "rununtil.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace nutmeghinge;
using namespace std::chrono_literals;

namespace {

const std::string get = "GET /a HTTP/1.1\r\nHost: desk\r\n\r\n";

/** Client whose calls need no event loop, so that the server's loop can stand still meanwhile. */
class BlockingClient
{
public:
    explicit BlockingClient(const Endpoint &endpoint)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
        REQUIRE(connect(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0);
    }
    ~BlockingClient() { close(m_socket); }
    BlockingClient(const BlockingClient &) = delete;
    BlockingClient &operator=(const BlockingClient &) = delete;

    void send(const std::string &bytes) const { REQUIRE(::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size())); }
    /** Returns what has arrived until now, without waiting. */
    const std::string &received()
    {
        std::array<char, 4096> buffer{};
        for (ssize_t size = 1; size > 0;) {
            size = recv(m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
            m_received.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
        }
        return m_received;
    }

private:
    int m_socket;
    std::string m_received;
};

template <typename Server>
Server makeServer(EventLoop &loop)
{
    const auto answer = [](const std::shared_ptr<HttpExchange> &exchange) { exchange->answer(200, {}, "teak"); };
    if constexpr (std::is_same_v<Server, PipelinedServer>) {
        return Server(loop, PipelinedServer::Options{1000, "test", 10s}, answer);
    } else {
        return Server(loop, HttpServer::Options{.bodyLimit = 1000, .name = "test", .idleTimeout = 10s}, answer);
    }
}

/** Returns whether the client gets an answer before the server has shut down. */
bool isAnswered(EventLoop &loop, BlockingClient &client, const bool &closed)
{
    return runUntil(loop, [&] { return client.received().ends_with("teak") || closed; }) && client.received().ends_with("teak");
}

/** Returns whether the last answer that the client has received announces the close of its connection. */
bool isCloseAnnounced(BlockingClient &client)
{
    const std::string received = client.received();
    const std::string head = received.substr(received.rfind("HTTP/1.1 "));
    return head.find("connection: close") != std::string::npos || head.find("Connection: close") != std::string::npos;
}

} // namespace

TEMPLATE_TEST_CASE("Requests on connections that the listener has not accepted when a planned stop closes it are answered", "", HttpServer, PipelinedServer)
{
    EventLoop loop;
    TestType server = makeServer<TestType>(loop);
    const Endpoint endpoint = std::get<Endpoint>(server.listen({"127.0.0.1", 0}));
    std::vector<std::unique_ptr<BlockingClient>> clients;
    for (int i = 0; i < 20; ++i) {
        clients.push_back(std::make_unique<BlockingClient>(endpoint));
        clients.back()->send(get);
    }
    bool closed = false;
    server.shutDown([&] { closed = true; });
    for (const auto &client : clients) {
        CHECK(isAnswered(loop, *client, closed));
    }
    CHECK(runUntil(loop, [&] { return closed; }));
}

TEMPLATE_TEST_CASE("A request that waits unread when a planned stop closes idle connections is answered", "", HttpServer, PipelinedServer)
{
    EventLoop loop;
    TestType server = makeServer<TestType>(loop);
    BlockingClient client(std::get<Endpoint>(server.listen({"127.0.0.1", 0})));
    runUntil(loop, [&] { return server.openConnections() == 1; });
    bool closed = false;
    server.shutDown([&] { closed = true; });
    // The loop stands still beyond the time at which idle connections are closed.
    std::this_thread::sleep_for(400ms);
    client.send(get);
    CHECK(isAnswered(loop, client, closed));
    CHECK(runUntil(loop, [&] { return closed; }));
}

TEMPLATE_TEST_CASE("From the announcement of a stop on, each answer announces the close, and new connections are served", "", HttpServer, PipelinedServer)
{
    EventLoop loop;
    TestType server = makeServer<TestType>(loop);
    const Endpoint endpoint = std::get<Endpoint>(server.listen({"127.0.0.1", 0}));
    BlockingClient before(endpoint);
    before.send(get);
    bool closed = false;
    REQUIRE(isAnswered(loop, before, closed));
    CHECK_FALSE(isCloseAnnounced(before));
    server.announceClose();
    before.send(get);
    CHECK(runUntil(loop, [&] { return isCloseAnnounced(before); }));
    for (int i = 0; i < 2; ++i) {
        BlockingClient after(endpoint);
        after.send(get);
        CHECK(isAnswered(loop, after, closed));
        CHECK(isCloseAnnounced(after));
    }
    server.shutDown([&] { closed = true; });
    CHECK(runUntil(loop, [&] { return closed; }));
}
