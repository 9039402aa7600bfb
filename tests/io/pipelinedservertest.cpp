#include "pipelinedserver.h"
#include "eventloop.h"
#include "httpexchange.h"
#include "linktraffic.h"
#include "rawconnection.h"
#include "rununtil.h"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

using namespace nutmeghinge;
using namespace std::chrono_literals;

namespace {

/** A pipelined server that stores its exchanges, and one client connection. */
struct Setup {
    Setup()
        : server(loop,
                 PipelinedServer::Options{1000, "test", 10s},
                 [this](std::shared_ptr<HttpExchange> exchange) {
                     exchange->setClosedFunction([this] { ++closed; });
                     exchanges.push_back(std::move(exchange));
                 })
        , endpoint(std::get<Endpoint>(server.listen({"127.0.0.1", 0})))
        , client(loop, endpoint)
    {
    }

    void send(const std::string &bytes, std::size_t expected)
    {
        client.send(bytes);
        REQUIRE(runUntil(loop, [&] { return exchanges.size() == expected; }));
    }
    bool receives(const std::string &text)
    {
        return runUntil(loop, [&] { return client.received().find(text) != std::string::npos; });
    }
    bool ends()
    {
        return runUntil(loop, [&] { return client.isEnded(); });
    }

    EventLoop loop;
    std::vector<std::shared_ptr<HttpExchange>> exchanges;
    int closed = 0;
    PipelinedServer server;
    Endpoint endpoint;
    RawConnection client;
};

const std::string get = "GET /a HTTP/1.1\r\nHost: desk\r\n\r\n";

} // namespace

TEST_CASE("Pipelining: requests of a connection reach the handler without waiting for answers, which are sent in request order")
{
    Setup setup;
    setup.send(get + "GET /b HTTP/1.1\r\nHost: desk\r\n\r\n" + get, 3);
    CHECK(setup.exchanges[1]->request().path == "/b");
    CHECK(setup.exchanges[1]->request().host == "desk");
    setup.exchanges[2]->answer(200, {}, "third");
    setup.exchanges[1]->answer(200, {}, "second");
    setup.exchanges[0]->answer(200, {}, "first");
    REQUIRE(setup.receives("third"));
    const std::string &received = setup.client.received();
    CHECK(received.find("first") < received.find("second"));
    CHECK(received.find("second") < received.find("third"));
}

TEST_CASE("The bytes of a listener's connections are counted, also those that wait for a client that does not read, and its cut answer is reported")
{
    EventLoop loop;
    LinkTraffic traffic;
    std::vector<Duration> delivered;
    std::vector<CutAnswer> cut;
    traffic.setDeliveredFunction([&](Duration duration) { delivered.push_back(duration); });
    traffic.setCutFunction([&](const CutAnswer &answer) { cut.push_back(answer); });
    std::vector<std::shared_ptr<HttpExchange>> exchanges;
    const PipelinedServer::Options options{.bodyLimit = 1000, .name = "test", .traffic = &traffic, .use = ConnectionUse::Peers};
    PipelinedServer server(loop, options, [&](std::shared_ptr<HttpExchange> exchange) { exchanges.push_back(std::move(exchange)); });
    auto client = std::make_unique<RawConnection>(loop, std::get<Endpoint>(server.listen({"127.0.0.1", 0})));
    const ByteCounts &peers = traffic.of(ConnectionUse::Peers);
    client->send(get);
    REQUIRE(runUntil(loop, [&] { return exchanges.size() == 1; }));
    CHECK(peers.received == get.size());
    exchanges[0]->answer(200, {}, "teak");
    REQUIRE(runUntil(loop, [&] { return client->received().find("teak") != std::string::npos; }));
    CHECK(peers.sent == client->received().size());
    CHECK(peers.waiting == 0);
    CHECK(delivered.size() == 1);

    client->send(get);
    REQUIRE(runUntil(loop, [&] { return exchanges.size() == 2; }));
    const std::size_t large = 32U << 20U;
    client->pause();
    exchanges[1]->answer(200, {}, std::string(large, 'x'));
    CHECK(peers.waiting > large / 2);
    CHECK(delivered.size() == 1);
    client.reset();
    REQUIRE(runUntil(loop, [&] { return !cut.empty(); }));
    CHECK(cut[0].use == ConnectionUse::Peers);
    CHECK(cut[0].bytes > large);
    CHECK(cut[0].unsentBytes > large / 2);
    CHECK(peers.waiting == 0);
    CHECK(traffic.of(ConnectionUse::Callers).sent == 0);
}

TEST_CASE("Pipelining: bodies with a content length or chunked encoding are complete, even if they arrive in several parts")
{
    Setup setup;
    setup.send("POST /a HTTP/1.1\r\nHost: d\r\nContent-Length: 4\r\n\r\nteakPOST /b HTTP/1.1\r\nHost: d\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nelm", 1);
    setup.send("\r\n2\r\n!!\r\n0\r\n\r\n" + get, 3);
    CHECK(setup.exchanges[0]->request().body == "teak");
    CHECK(setup.exchanges[1]->request().body == "elm!!");
}

TEST_CASE("Pipelining: an answer without a length is chunked, and an aborted one has no final chunk")
{
    Setup setup;
    setup.send(get + get, 2);
    setup.exchanges[0]->beginAnswer({200, {}, std::nullopt});
    setup.exchanges[0]->write("teak");
    setup.exchanges[0]->finish();
    REQUIRE(setup.receives("4\r\nteak\r\n0\r\n\r\n"));
    setup.exchanges[1]->beginAnswer({200, {}, std::nullopt});
    setup.exchanges[1]->write("oak");
    setup.exchanges[1]->reset();
    REQUIRE(setup.ends());
    CHECK(setup.client.received().find("oak\r\n0\r\n") == std::string::npos);
}

TEST_CASE("Pipelining: a request with invalid framing is refused after earlier answers and closes the connection")
{
    const auto [request, status] = GENERATE(table<std::string, std::string>({
        {"POST /a HTTP/1.1\r\nHost: d\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nteak!", "400"},
        {"POST /a HTTP/1.1\r\nHost: d\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
        {"POST /a HTTP/1.1\r\nHost: d\r\nTransfer-Encoding: gzip\r\n\r\n", "400"},
        {"POST /a HTTP/1.1\r\nHost: d\r\nTransfer-Encoding: chunked\r\n\r\nnonsense\r\n", "400"},
        {"POST /a HTTP/1.1\r\nHost: d\r\nContent-Length: 2000\r\n\r\n", "413"},
        {"no request at all\r\n\r\n", "400"},
        {"GET /a HTTP/1.1\r\nHost: d\r\nX: " + std::string(70000, 'x'), "431"},
    }));
    Setup setup;
    setup.send(get + request, 1);
    setup.exchanges[0]->answer(200, {}, "first");
    REQUIRE(setup.receives("HTTP/1.1 " + status));
    CHECK(setup.client.received().find("first") < setup.client.received().find("HTTP/1.1 " + status));
    CHECK(setup.ends());
    CHECK(setup.exchanges.size() == 1);
    CHECK(setup.server.refusedInputs() == 1);
}

TEST_CASE("Pipelining: the closed functions of all exchanges are called when the client disconnects")
{
    Setup setup;
    setup.send(get + get, 2);
    setup.client.close();
    CHECK(runUntil(setup.loop, [&] { return setup.closed == 2; }));
    setup.exchanges[0]->answer(200, {}, "late");
    CHECK(setup.server.openConnections() == 0);
}

TEST_CASE("Pipelining: after the start of a shutdown no further request is read and the last answer announces the close")
{
    Setup setup;
    setup.send(get + get, 2);
    bool done = false;
    setup.server.shutDown([&] { done = true; });
    setup.client.send(get);
    setup.exchanges[0]->answer(200, {}, "first");
    setup.exchanges[1]->answer(200, {}, "second");
    REQUIRE(setup.receives("second"));
    CHECK(setup.exchanges.size() == 2);
    const std::string &received = setup.client.received();
    CHECK(received.find("connection: close") > received.find("first"));
    CHECK(setup.ends());
    CHECK(runUntil(setup.loop, [&] { return done; }));
}

TEST_CASE("Pipelining: a shutdown closes idle connections")
{
    Setup setup;
    setup.send(get, 1);
    setup.exchanges[0]->answer(204, {}, {});
    REQUIRE(setup.receives("204"));
    bool done = false;
    setup.server.shutDown([&] { done = true; });
    CHECK(runUntil(setup.loop, [&] { return done; }));
}

TEST_CASE("Pipelining: the writer of a large answer must pause while the client does not read")
{
    Setup setup;
    setup.send(get, 1);
    setup.exchanges[0]->beginAnswer({200, {}, std::nullopt});
    const std::string part(65536, 'x');
    bool accepts = true;
    int parts = 0;
    while (accepts && parts < 1000) {
        accepts = setup.exchanges[0]->write(part);
        ++parts;
    }
    CHECK_FALSE(accepts);
    CHECK(parts < 1000);
}

TEST_CASE("Pipelining: an answer that breaks off does not take the requests before it with it")
{
    Setup setup;
    setup.send(get + get + get, 3);
    const bool begun = GENERATE(false, true);
    if (begun) {
        setup.exchanges[1]->beginAnswer({.status = 200, .headers = {}, .contentLength = 100});
        setup.exchanges[1]->write("the first part");
    }
    setup.exchanges[1]->reset();
    setup.exchanges[2]->answer(200, {}, "third");
    CHECK(setup.closed == 0);
    setup.exchanges[0]->answer(200, {}, "first");
    REQUIRE(setup.receives("third"));
    const std::string &received = setup.client.received();
    CHECK(received.find("first") < received.find("HTTP/1.1 502"));
    CHECK(received.find("HTTP/1.1 502") < received.find("third"));
    CHECK(received.find("the first part") == std::string::npos);
}

TEST_CASE("Pipelining: the last answer of a connection reaches a client that reads slowly, also during a shutdown")
{
    Setup setup;
    const bool shutsDown = GENERATE(false, true);
    setup.send(shutsDown ? get : "GET /a HTTP/1.1\r\nHost: desk\r\nConnection: close\r\n\r\n", 1);
    setup.client.pause();
    if (shutsDown) {
        setup.server.shutDown([] {});
    }
    const std::string body(std::size_t(24) << 20U, 'x');
    setup.exchanges[0]->answer(200, {}, body);
    setup.loop.callLater(1500ms, [&] { setup.client.resume(); });
    setup.client.discardReceived();
    REQUIRE(setup.ends());
    CHECK(setup.client.receivedBytes() > body.size());
}

TEST_CASE("Connections that the listener ends on a request are counted by what was lost, and those that clients end are not")
{
    LinkTraffic traffic;
    EventLoop loop;
    std::vector<std::shared_ptr<HttpExchange>> exchanges;
    const PipelinedServer::Options options{.bodyLimit = 1000, .name = "test", .traffic = &traffic, .use = ConnectionUse::Callers};
    auto server = std::make_unique<PipelinedServer>(loop, options, [&](std::shared_ptr<HttpExchange> exchange) { exchanges.push_back(std::move(exchange)); });
    const Endpoint endpoint = std::get<Endpoint>(server->listen({"127.0.0.1", 0}));
    RawConnection left(loop, endpoint);
    left.send(get);
    REQUIRE(runUntil(loop, [&] { return exchanges.size() == 1; }));
    left.close();
    REQUIRE(runUntil(loop, [&] { return server->openConnections() == 0; }));
    CHECK(traffic.endedConnections(LostRequest::Unanswered) == 0);

    RawConnection unanswered(loop, endpoint);
    unanswered.send(get);
    RawConnection cut(loop, endpoint);
    cut.send(get);
    REQUIRE(runUntil(loop, [&] { return exchanges.size() == 3; }));
    exchanges[2]->beginAnswer({200, {}, 100});
    exchanges[2]->write("teak");
    RawConnection unfinished(loop, endpoint);
    unfinished.send("POST /a HTTP/1.1\r\nHost: desk\r\nContent-Length: 9\r\n\r\nteak");
    RawConnection discarded(loop, endpoint);
    discarded.send("GET /last HTTP/1.1\r\nHost: desk\r\nConnection: close\r\n\r\n");
    REQUIRE(runUntil(loop, [&] { return exchanges.size() == 4; }));
    discarded.send(get);
    const std::uint64_t received = traffic.of(ConnectionUse::Callers).received;
    REQUIRE(runUntil(loop, [&] { return traffic.of(ConnectionUse::Callers).received == received + get.size(); }));
    exchanges[3]->answer(200, {}, "last");
    REQUIRE(runUntil(loop, [&] { return discarded.isEnded(); }));
    server.reset();
    CHECK(traffic.endedConnections(LostRequest::Unanswered) == 1);
    CHECK(traffic.endedConnections(LostRequest::AnswerCut) == 1);
    CHECK(traffic.endedConnections(LostRequest::Unfinished) == 1);
    CHECK(traffic.endedConnections(LostRequest::Discarded) == 1);
}

TEST_CASE("Pipelining: a request that crosses the close of an idle connection is not read")
{
    LinkTraffic traffic;
    EventLoop loop;
    std::vector<std::shared_ptr<HttpExchange>> exchanges;
    const auto idleTimeout = GENERATE(Duration(10s), Duration(50ms));
    const PipelinedServer::Options options{.bodyLimit = 1000, .name = "test", .idleTimeout = idleTimeout, .traffic = &traffic};
    PipelinedServer server(loop, options, [&](std::shared_ptr<HttpExchange> exchange) { exchanges.push_back(std::move(exchange)); });
    RawConnection client(loop, std::get<Endpoint>(server.listen({"127.0.0.1", 0})));
    client.send(get);
    REQUIRE(runUntil(loop, [&] { return exchanges.size() == 1; }));
    exchanges[0]->answer(200, {}, "teak");
    bool closed = false;
    if (idleTimeout > 1s) {
        server.shutDown([&] { closed = true; });
    }
    REQUIRE(runUntil(loop, [&] { return client.isEnded(); }));
    CHECK(client.received().ends_with("teak"));
    client.send(get);
    REQUIRE(runUntil(loop, [&] { return server.openConnections() == 0; }));
    CHECK(closed == (idleTimeout > 1s));
    CHECK(exchanges.size() == 1);
    CHECK(traffic.of(ConnectionUse::Callers).received == get.size());
    CHECK(traffic.endedConnections(LostRequest::Discarded) == 0);
}

TEST_CASE("Pipelining: a request that follows an answer begun before a shutdown is answered, as that answer did not announce the close")
{
    Setup setup;
    setup.send(get, 1);
    setup.exchanges[0]->beginAnswer({200, {}, 8});
    setup.exchanges[0]->write("teak");
    REQUIRE(setup.receives("teak"));
    bool done = false;
    setup.server.shutDown([&] { done = true; });
    setup.exchanges[0]->write("glue");
    setup.exchanges[0]->finish();
    REQUIRE(setup.receives("teakglue"));
    CHECK(setup.client.received().find("connection: close") == std::string::npos);
    setup.send(get, 2);
    setup.exchanges[1]->answer(200, {}, "last");
    REQUIRE(setup.receives("last"));
    CHECK(setup.client.received().find("connection: close") != std::string::npos);
    CHECK(setup.ends());
    CHECK(runUntil(setup.loop, [&] { return done; }));
}

TEST_CASE("Pipelining: a connection without requests closes soon after an answer begun before a shutdown")
{
    Setup setup;
    setup.send(get, 1);
    setup.exchanges[0]->beginAnswer({200, {}, 4});
    bool done = false;
    setup.server.shutDown([&] { done = true; });
    setup.loop.callLater(400ms, [&] {
        setup.exchanges[0]->write("teak");
        setup.exchanges[0]->finish();
    });
    REQUIRE(setup.receives("teak"));
    CHECK(setup.ends());
    CHECK(runUntil(setup.loop, [&] { return done; }));
}

TEST_CASE("Pipelining: requests behind one another are read and answered until the shutdown, which the last answer announces")
{
    Setup setup;
    setup.send(get, 1);
    setup.server.announceClose();
    setup.send(get, 2);
    setup.exchanges[0]->answer(200, {}, "first");
    setup.exchanges[1]->answer(200, {}, "second");
    REQUIRE(setup.receives("second"));
    setup.send(get + get, 4);
    CHECK(setup.client.received().find("connection: close") == std::string::npos);
    setup.server.shutDown([] {});
    setup.exchanges[3]->answer(200, {}, "fourth");
    setup.exchanges[2]->answer(200, {}, "third");
    REQUIRE(setup.receives("fourth"));
    CHECK(setup.client.received().find("connection: close") > setup.client.received().find("third"));
    CHECK(setup.ends());
}
