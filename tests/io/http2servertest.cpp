#include "eventloop.h"
#include "http2frames.h"
#include "rawconnection.h"
#include "recordingserver.h"
#include "rununtil.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace nutmeghinge;
using http2::FrameType;

namespace {

/** An HTTP/2 client connection that records the received frames. */
struct Client {
    Client(EventLoop &loop, const Endpoint &endpoint)
        : connection(loop, endpoint)
    {
        connection.setReceivedFunction([this] {
            for (http2::Frame &frame : http2::takeFrames(connection.received())) {
                bodyBytes += frame.type == FrameType::Data ? frame.payload.size() : 0;
                if (grantsWindow && frame.type == FrameType::Data && !frame.payload.empty()) {
                    const auto size = static_cast<std::uint32_t>(frame.payload.size());
                    connection.send(http2::windowUpdate(0, size) + http2::windowUpdate(frame.stream, size));
                }
                frames.push_back(std::move(frame));
            }
        });
        connection.send(http2::preface());
    }

    const http2::Frame *find(FrameType type) const
    {
        const auto found = std::ranges::find(frames, type, &http2::Frame::type);
        return found == frames.end() ? nullptr : &*found;
    }

    bool isEnded(std::uint32_t stream) const
    {
        return std::ranges::any_of(frames, [&](const http2::Frame &frame) {
            const bool carriesEnd = frame.type == FrameType::Data || frame.type == FrameType::Headers;
            return frame.stream == stream && carriesEnd && (frame.flags & http2::endStream) != 0;
        });
    }

    RawConnection connection;
    std::vector<http2::Frame> frames;
    std::size_t bodyBytes = 0;
    bool grantsWindow = false;
};

} // namespace

TEST_CASE("HTTP/2 with prior knowledge: concurrent requests are answered on their own streams")
{
    EventLoop loop;
    RecordingServer server(loop);
    Client client(loop, server.endpoint);
    client.connection.send(http2::request(1, "GET", false) + http2::request(3, "POST", true));
    client.connection.send(http2::encode({.type = FrameType::Data, .flags = http2::endStream, .stream = 3, .payload = "teak"}));
    REQUIRE(runUntil(loop, [&] { return server.exchanges.size() == 2; }));
    CHECK(server.exchanges[0]->request().host == "d");
    CHECK(server.exchanges[1]->request().body == "teak");
    server.exchanges[1]->answer(200, {}, "second");
    REQUIRE(runUntil(loop, [&] { return client.isEnded(3); }));
    CHECK_FALSE(client.isEnded(1));
    server.exchanges[0]->beginAnswer({.status = 200, .headers = {}, .contentLength = {}});
    server.exchanges[0]->write("first");
    server.exchanges[0]->finish();
    CHECK(runUntil(loop, [&] { return client.isEnded(1); }));
    CHECK(client.bodyBytes == 11);
    CHECK(server.closed == 0);
}

TEST_CASE("HTTP/2: parts of the cookie header are joined")
{
    EventLoop loop;
    RecordingServer server(loop);
    Client client(loop, server.endpoint);
    const std::string headers = http2::header("cookie", "a=1") + http2::header("x-a", "b") + http2::header("cookie", "c=2");
    client.connection.send(http2::request(1, "GET", false, "/", headers));
    REQUIRE(runUntil(loop, [&] { return server.exchanges.size() == 1; }));
    CHECK(server.exchanges[0]->request().headers == HttpHeaders{{"cookie", "a=1; c=2"}, {"x-a", "b"}});
}

TEST_CASE("HTTP/2: an incomplete answer resets only its own stream")
{
    EventLoop loop;
    RecordingServer server(loop);
    Client client(loop, server.endpoint);
    client.connection.send(http2::request(1, "GET", false) + http2::request(3, "GET", false));
    REQUIRE(runUntil(loop, [&] { return server.exchanges.size() == 2; }));
    HttpExchange &exchange = *server.exchanges[0];
    SECTION("reset")
    {
        exchange.beginAnswer({.status = 200, .headers = {}, .contentLength = {}});
        exchange.write("wood");
        REQUIRE(runUntil(loop, [&] { return client.bodyBytes == 4; }));
        exchange.reset();
    }
    SECTION("reset right after a write")
    {
        exchange.beginAnswer({.status = 200, .headers = {}, .contentLength = {}});
        exchange.write("wood");
        exchange.reset();
    }
    SECTION("reset while a write waits for the client's window")
    {
        exchange.beginAnswer({.status = 200, .headers = {}, .contentLength = {}});
        exchange.write(std::string(100000, 'x'));
        REQUIRE(runUntil(loop, [&] { return client.bodyBytes > 60000; }));
        exchange.reset();
        client.connection.send(http2::windowUpdate(0, 60000) + http2::windowUpdate(1, 60000));
    }
    SECTION("fewer bytes than stated")
    {
        exchange.beginAnswer({.status = 200, .headers = {}, .contentLength = 9});
        exchange.write("wood");
        exchange.finish();
    }
    SECTION("no answer")
    {
        exchange.reset();
    }
    REQUIRE(runUntil(loop, [&] { return client.find(FrameType::ResetStream) != nullptr; }));
    CHECK(client.find(FrameType::ResetStream)->stream == 1);
    CHECK_FALSE(client.isEnded(1));
    server.exchanges[1]->answer(200, {}, "whole");
    CHECK(runUntil(loop, [&] { return client.isEnded(3); }));
}

TEST_CASE("HTTP/2: the closed function is called when the client resets the stream or disconnects")
{
    EventLoop loop;
    RecordingServer server(loop);
    Client client(loop, server.endpoint);
    client.connection.send(http2::request(1, "GET", false));
    REQUIRE(runUntil(loop, [&] { return server.exchanges.size() == 1; }));
    SECTION("reset stream")
    {
        const std::string cancelCode("\0\0\0\x8", 4);
        client.connection.send(http2::encode({.type = FrameType::ResetStream, .flags = 0, .stream = 1, .payload = cancelCode}));
    }
    SECTION("closed connection")
    {
        client.connection.close();
    }
    CHECK(runUntil(loop, [&] { return server.closed == 1; }));
    server.exchanges[0]->answer(200, {}, "late");
}

TEST_CASE("HTTP/2: a request with a body over the limit never reaches the handler")
{
    EventLoop loop;
    RecordingServer server(loop);
    Client client(loop, server.endpoint);
    client.connection.send(http2::request(1, "POST", true));
    for (std::size_t sent = 0; sent <= RecordingServer::bodyLimit; sent += 10000) {
        const std::string part(10000, 'x');
        client.connection.send(http2::encode({.type = FrameType::Data, .flags = 0, .stream = 1, .payload = part}));
        runIterations(loop, 3);
    }
    CHECK(runUntil(loop, [&] { return client.find(FrameType::ResetStream) != nullptr || client.isEnded(1); }));
    CHECK(server.exchanges.empty());
}

TEST_CASE("HTTP/2: a request that HTTP/1 would parse differently never reaches the handler")
{
    const auto *const path = GENERATE("/ HTTP/1.1", "/ HTTP/1.1\r\nHost: x\r\n\r\nGET /b", "/\x01", "/a\tb");
    EventLoop loop;
    RecordingServer server(loop);
    Client client(loop, server.endpoint);
    client.connection.send(http2::request(1, "GET", false, path));
    CHECK(runUntil(loop, [&] { return client.isEnded(1) || client.find(FrameType::ResetStream) != nullptr || client.connection.isEnded(); }));
    CHECK(server.exchanges.empty());
}

TEST_CASE("HTTP/2: invalid frames close only their own connection")
{
    EventLoop loop;
    RecordingServer server(loop);
    server.onRequest = [](HttpExchange &exchange) { exchange.answer(200, {}, "ok"); };
    Client other(loop, server.endpoint);
    Client client(loop, server.endpoint);
    client.connection.send(std::string(1000, '\xff'));
    CHECK(runUntil(loop, [&] { return client.connection.isEnded(); }));
    other.connection.send(http2::request(1, "GET", false));
    CHECK(runUntil(loop, [&] { return other.isEnded(1); }));
}

TEST_CASE("HTTP/2: a download waits for the client's flow control window")
{
    constexpr std::size_t blockBytes = 30000;
    constexpr std::size_t blocks = 500;
    EventLoop loop;
    RecordingServer server(loop);
    Client client(loop, server.endpoint);
    client.connection.send(http2::request(1, "GET", false));
    REQUIRE(runUntil(loop, [&] { return server.exchanges.size() == 1; }));
    HttpExchange &exchange = *server.exchanges[0];
    std::size_t written = 0;
    const auto writeBlocks = [&] {
        bool writable = true;
        while (writable && written < blocks) {
            writable = exchange.write(std::string(blockBytes, 'x'));
            ++written;
        }
        if (written == blocks) {
            exchange.finish();
        }
    };
    exchange.setWritableFunction(writeBlocks);
    exchange.beginAnswer({.status = 200, .headers = {}, .contentLength = blocks * blockBytes});
    writeBlocks();
    runIterations(loop, 20);
    CHECK(written * blockBytes < 500000);
    client.grantsWindow = true;
    client.connection.send(http2::windowUpdate(0, 60000) + http2::windowUpdate(1, 60000));
    CHECK(runUntil(loop, [&] { return client.isEnded(1); }));
    CHECK(client.bodyBytes == blocks * blockBytes);
}

TEST_CASE("HTTP/2: a shutdown sends GOAWAY and completes running streams")
{
    EventLoop loop;
    RecordingServer server(loop);
    Client client(loop, server.endpoint);
    Client idle(loop, server.endpoint);
    client.connection.send(http2::request(1, "GET", false));
    REQUIRE(runUntil(loop, [&] { return server.exchanges.size() == 1 && server.server.openConnections() == 2; }));
    server.exchanges[0]->beginAnswer({.status = 200, .headers = {}, .contentLength = {}});
    server.exchanges[0]->write("wood");
    REQUIRE(runUntil(loop, [&] { return client.bodyBytes == 4 && idle.find(FrameType::Settings) != nullptr; }));
    bool closed = false;
    server.server.shutDown([&] { closed = true; });
    CHECK(runUntil(loop, [&] { return client.find(FrameType::GoAway) != nullptr && idle.connection.isEnded(); }));
    CHECK_FALSE(closed);
    server.exchanges[0]->finish();
    CHECK(runUntil(loop, [&] { return closed; }));
    CHECK(client.isEnded(1));
}

TEST_CASE("HTTP/2: an upgrade from HTTP/1.1 succeeds, and one with two content lengths is refused")
{
    EventLoop loop;
    RecordingServer server(loop);
    server.onRequest = [](HttpExchange &exchange) { exchange.answer(200, {}, "upgraded"); };
    RawConnection client(loop, server.endpoint);
    const std::string upgrade = "Host: d\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n";
    SECTION("without a body")
    {
        client.send("GET / HTTP/1.1\r\n" + upgrade + "\r\n");
        CHECK(runUntil(loop, [&] { return client.received().find("upgraded") != std::string::npos; }));
        CHECK(client.received().starts_with("HTTP/1.1 101"));
    }
    SECTION("with two lengths")
    {
        client.send("POST / HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n" + upgrade + "\r\nteak");
        CHECK(runUntil(loop, [&] { return server.server.refusedInputs() == 1; }));
        CHECK(server.exchanges.empty());
    }
}
