#include "httpserver.h"
#include "eventloop.h"
#include "httpexchange.h"
#include "rawconnection.h"
#include "recordingserver.h"
#include "rununtil.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;

namespace {

bool endsWith(const std::string &text, std::string_view end)
{
    return text.ends_with(end);
}

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("HTTP/1.1: the handler gets complete requests and the connection is kept alive")
{
    EventLoop loop;
    RecordingServer server(loop);
    server.onRequest = [](HttpExchange &exchange) { exchange.answer(200, {{"x-test", "yes"}}, "echo " + exchange.request().body.text()); };
    RawConnection client(loop, server.endpoint);
    client.send("POST /a?b=c HTTP/1.1\r\nHost: Desk.example:81\r\nX-Name: v\r\nContent-Length: 4\r\n\r\nteak");
    REQUIRE(runUntil(loop, [&] { return endsWith(client.received(), "echo teak"); }));
    const HttpRequest &request = server.exchanges[0]->request();
    CHECK(request.method == "POST");
    CHECK(request.path == "/a?b=c");
    CHECK(request.host == "Desk.example:81");
    CHECK(findHeader(request.headers, "x-name") == "v");
    CHECK(contains(client.received(), "HTTP/1.1 200 OK\r\n"));
    CHECK(contains(client.received(), "Content-Length: 9\r\n"));
    CHECK(contains(client.received(), "x-test: yes\r\n"));

    client.received().clear();
    client.send("POST / HTTP/1.1\r\nHost: d\r\nTransfer-Encoding: chunked\r\n\r\n3\r\noak\r\n0\r\n\r\n");
    REQUIRE(runUntil(loop, [&] { return endsWith(client.received(), "echo oak"); }));
    CHECK(server.server.openConnections() == 1);
    CHECK(server.server.refusedInputs() == 0);
}

TEST_CASE("HTTP/1.1: invalid requests are refused and never reach the handler")
{
    struct InvalidRequest {
        std::string name;
        std::string request;
        std::string status;
    };
    const std::string body(RecordingServer::bodyLimit + 1, 'x');
    const auto invalid = GENERATE_COPY(
        InvalidRequest{"two lengths", "POST / HTTP/1.1\r\nHost: d\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nteak", "400"},
        InvalidRequest{"one length twice", "POST / HTTP/1.1\r\nHost: d\r\nContent-Length: 4\r\ncontent-length: 4\r\n\r\nteak", "400"},
        InvalidRequest{"length and chunked", "POST / HTTP/1.1\r\nHost: d\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
        InvalidRequest{"two encodings", "POST / HTTP/1.1\r\nHost: d\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
        InvalidRequest{"unknown encoding", "POST / HTTP/1.1\r\nHost: d\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", "400"},
        InvalidRequest{"length is not a number", "POST / HTTP/1.1\r\nHost: d\r\nContent-Length: 4, 4\r\n\r\nteak", "400"},
        InvalidRequest{"body over the limit", "POST / HTTP/1.1\r\nHost: d\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, "413"},
        InvalidRequest{"chunks over the limit", "POST / HTTP/1.1\r\nHost: d\r\nTransfer-Encoding: chunked\r\n\r\n186a1\r\n" + body + "\r\n0\r\n\r\n", "413"},
        InvalidRequest{"invalid request line", "no request at all\r\n\r\n", ""},
        InvalidRequest{"space before colon", "POST / HTTP/1.1\r\nHost: d\r\nContent-Length : 4\r\n\r\nteak", ""},
        InvalidRequest{"head too large", "GET / HTTP/1.1\r\nHost: d\r\nX: " + std::string(1000000, 'x') + "\r\n\r\n", ""});
    INFO(invalid.name);
    EventLoop loop;
    RecordingServer server(loop);
    server.onRequest = [](HttpExchange &exchange) { exchange.answer(200, {}, "ok"); };
    RawConnection other(loop, server.endpoint);
    RawConnection client(loop, server.endpoint);
    client.send(invalid.request);
    CHECK(runUntil(loop, [&] { return client.isEnded(); }));
    CHECK(server.exchanges.empty());
    CHECK(contains(client.received(), "HTTP/1.1 " + invalid.status));
    if (!invalid.status.empty()) {
        CHECK(server.server.refusedInputs() == 1);
    }
    other.send("GET / HTTP/1.1\r\nHost: d\r\n\r\n");
    CHECK(runUntil(loop, [&] { return endsWith(other.received(), "ok"); }));
}

TEST_CASE("HTTP/1.1: only a complete streamed answer ends without a reset")
{
    EventLoop loop;
    RecordingServer server(loop);
    RawConnection client(loop, server.endpoint);
    client.send("GET / HTTP/1.1\r\nHost: d\r\n\r\n");
    REQUIRE(runUntil(loop, [&] { return !server.exchanges.empty(); }));
    HttpExchange &exchange = *server.exchanges[0];

    SECTION("chunked")
    {
        exchange.beginAnswer({.status = 200, .headers = {}, .contentLength = {}});
        exchange.write("wood");
        exchange.write("glue");
        exchange.finish();
        CHECK(runUntil(loop, [&] { return endsWith(client.received(), "8\r\nwoodglue\r\n0\r\n\r\n"); }));
        CHECK(server.closed == 0);
    }
    SECTION("fewer bytes than stated")
    {
        exchange.beginAnswer({.status = 200, .headers = {}, .contentLength = 10});
        exchange.write("wood");
        exchange.finish();
        CHECK(runUntil(loop, [&] { return client.isEnded(); }));
        CHECK(client.wasReset());
    }
    SECTION("more bytes than stated")
    {
        exchange.beginAnswer({.status = 200, .headers = {}, .contentLength = 3});
        exchange.write("wood");
        exchange.finish();
        CHECK(runUntil(loop, [&] { return client.isEnded(); }));
        CHECK_FALSE(contains(client.received(), "wood"));
    }
    SECTION("reset in the middle")
    {
        exchange.beginAnswer({.status = 200, .headers = {}, .contentLength = {}});
        exchange.write("wood");
        REQUIRE(runUntil(loop, [&] { return contains(client.received(), "wood"); }));
        exchange.reset();
        CHECK(runUntil(loop, [&] { return client.isEnded(); }));
        CHECK(client.wasReset());
        CHECK_FALSE(endsWith(client.received(), "0\r\n\r\n"));
    }
    SECTION("reset before the head")
    {
        exchange.reset();
        CHECK(runUntil(loop, [&] { return client.isEnded(); }));
        CHECK(client.received().empty());
    }
    CHECK(runUntil(loop, [&] { return client.isEnded() ? server.server.openConnections() == 0 : true; }));
}

TEST_CASE("HTTP/1.1: the head of an answer is sent before the body is available")
{
    EventLoop loop;
    RecordingServer server(loop);
    RawConnection client(loop, server.endpoint);
    client.send("GET / HTTP/1.1\r\nHost: d\r\n\r\n");
    REQUIRE(runUntil(loop, [&] { return !server.exchanges.empty(); }));
    server.exchanges[0]->beginAnswer({.status = 200, .headers = {}, .contentLength = 4});
    CHECK(runUntil(loop, [&] { return endsWith(client.received(), "\r\n\r\n"); }));
    server.exchanges[0]->write("teak");
    server.exchanges[0]->finish();
    CHECK(runUntil(loop, [&] { return endsWith(client.received(), "teak"); }));
}

TEST_CASE("HTTP/1.1: answers to HEAD requests have a content length and no body")
{
    EventLoop loop;
    RecordingServer server(loop);
    server.onRequest = [](HttpExchange &exchange) { exchange.answer(200, {}, "teak"); };
    RawConnection client(loop, server.endpoint);
    client.send("HEAD / HTTP/1.1\r\nHost: d\r\n\r\nHEAD / HTTP/1.1\r\nHost: d\r\n\r\n");
    REQUIRE(runUntil(loop, [&] { return server.exchanges.size() == 2; }));
    runIterations(loop, 5);
    CHECK(contains(client.received(), "Content-Length: 4\r\n"));
    CHECK(endsWith(client.received(), "\r\n\r\n"));
}

TEST_CASE("HTTP/1.1: the closed function is called when the client disconnects")
{
    EventLoop loop;
    RecordingServer server(loop);
    RawConnection client(loop, server.endpoint);

    SECTION("before the request is complete")
    {
        client.send("POST / HTTP/1.1\r\nHost: d\r\nContent-Length: 4\r\n\r\nte");
        REQUIRE(runUntil(loop, [&] { return server.server.openConnections() == 1 && !client.isWriting(); }));
        client.close();
        CHECK(runUntil(loop, [&] { return server.server.openConnections() == 0; }));
        CHECK(server.exchanges.empty());
    }
    SECTION("before the answer")
    {
        client.send("GET / HTTP/1.1\r\nHost: d\r\n\r\n");
        REQUIRE(runUntil(loop, [&] { return !server.exchanges.empty(); }));
        client.close();
        CHECK(runUntil(loop, [&] { return server.closed == 1; }));
        server.exchanges[0]->answer(200, {}, "late");
    }
    SECTION("in the middle of the answer")
    {
        client.send("GET / HTTP/1.1\r\nHost: d\r\n\r\n");
        REQUIRE(runUntil(loop, [&] { return !server.exchanges.empty(); }));
        server.exchanges[0]->beginAnswer({.status = 200, .headers = {}, .contentLength = {}});
        server.exchanges[0]->write("wood");
        REQUIRE(runUntil(loop, [&] { return contains(client.received(), "wood"); }));
        client.reset();
        CHECK(runUntil(loop, [&] { return server.closed == 1; }));
        server.exchanges[0]->write("late");
        server.exchanges[0]->finish();
    }
    CHECK(runUntil(loop, [&] { return server.server.openConnections() == 0; }));
}

TEST_CASE("HTTP/1.1: a slow client makes the writer of the answer pause")
{
    EventLoop loop;
    RecordingServer server(loop);
    RawConnection client(loop, server.endpoint);
    client.discardReceived();
    client.send("GET / HTTP/1.1\r\nHost: d\r\n\r\n");
    REQUIRE(runUntil(loop, [&] { return !server.exchanges.empty(); }));
    client.pause();
    HttpExchange &exchange = *server.exchanges[0];
    const std::string block(30000, 'x');
    std::size_t written = 0;
    const auto writeBlocks = [&] {
        bool writable = true;
        while (writable && written < 3000U * block.size()) {
            writable = exchange.write(block);
            written += block.size();
        }
    };
    exchange.setWritableFunction(writeBlocks);
    exchange.beginAnswer({.status = 200, .headers = {}, .contentLength = 3000U * block.size()});
    writeBlocks();
    runIterations(loop, 50);
    // The written data fits into the buffers of the kernel and of one exchange.
    CHECK(written < 20000000);
    client.resume();
    CHECK(runUntil(loop, [&] { return client.receivedBytes() > 3000U * block.size(); }));
    CHECK(written == 3000U * block.size());
    exchange.finish();
    runIterations(loop, 3);
    CHECK_FALSE(client.isEnded());
}

TEST_CASE("HTTP/1.1: a shutdown completes pending answers and closes idle connections")
{
    EventLoop loop;
    RecordingServer server(loop);
    RawConnection idle(loop, server.endpoint);
    RawConnection client(loop, server.endpoint);
    client.send("GET / HTTP/1.1\r\nHost: d\r\n\r\n");
    REQUIRE(runUntil(loop, [&] { return !server.exchanges.empty() && server.server.openConnections() == 2; }));
    server.exchanges[0]->beginAnswer({.status = 200, .headers = {}, .contentLength = 8});
    server.exchanges[0]->write("wood");
    bool closed = false;
    server.server.shutDown([&] { closed = true; });
    RawConnection late(loop, server.endpoint);
    CHECK(runUntil(loop, [&] { return late.isEnded() && idle.isEnded(); }));
    CHECK_FALSE(closed);
    CHECK_FALSE(client.isEnded());
    server.exchanges[0]->write("glue");
    server.exchanges[0]->finish();
    CHECK(runUntil(loop, [&] { return closed && client.isEnded(); }));
    CHECK(endsWith(client.received(), "woodglue"));
    CHECK_FALSE(client.wasReset());
    CHECK(server.exchanges.size() == 1);
}

TEST_CASE("HTTP/1.1: a request that is partly received when the shutdown starts is answered")
{
    EventLoop loop;
    RecordingServer server(loop);
    server.onRequest = [](HttpExchange &exchange) { exchange.answer(200, {}, "echo " + exchange.request().body.text()); };
    RawConnection idle(loop, server.endpoint);
    RawConnection client(loop, server.endpoint);
    client.send("POST / HTTP/1.1\r\nHost: d\r\nContent-Length: 4\r\n\r\nte");
    REQUIRE(runUntil(loop, [&] { return server.server.openConnections() == 2 && !client.isWriting(); }));
    bool closed = false;
    server.server.shutDown([&] { closed = true; });
    REQUIRE(runUntil(loop, [&] { return idle.isEnded(); }));
    runIterations(loop, 5);
    client.send("ak");
    CHECK(runUntil(loop, [&] { return closed && client.isEnded(); }));
    CHECK(endsWith(client.received(), "echo teak"));
    CHECK(contains(client.received(), "Connection: close\r\n"));
}
