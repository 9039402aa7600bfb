#include "eventloop.h"
#include "httpanswercollector.h"
#include "rawserver.h"
#include "recordingreceiver.h"
#include "rununtil.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <thread>
#include <utility>

using namespace nutmeghinge;

namespace {

/** A client and a raw server that answers each request with onRequest. */
struct Setup {
    Setup()
        : server(loop,
                 [this](RawConnection &connection) {
                     if (connection.received().find("\r\n\r\n") == std::string::npos) {
                         return;
                     }
                     requests.push_back(std::exchange(connection.received(), {}));
                     if (onRequest) {
                         onRequest(connection);
                     }
                 })
        , client(loop, 4)
    {
    }

    HttpClientRequest request() const { return {.to = server.endpoint(), .method = "GET", .path = "/", .headers = {}, .body = {}}; }

    HttpClient::CallId send(HttpClientRequest toSend)
    {
        receiver = std::make_shared<RecordingReceiver>();
        return client.send(std::move(toSend), receiver);
    }

    HttpCallResult run(HttpClientRequest toSend)
    {
        send(std::move(toSend));
        REQUIRE(runUntil(loop, [&] { return receiver->result.has_value(); }));
        return *receiver->result;
    }

    EventLoop loop;
    std::vector<std::string> requests;
    std::function<void(RawConnection &)> onRequest;
    RawServer server;
    HttpClient client;
    std::shared_ptr<RecordingReceiver> receiver;
};

} // namespace

TEST_CASE("The client distinguishes complete answers from truncated and malformed ones")
{
    struct Answer {
        std::string bytes;
        bool closes;
        HttpCallResult result;
        std::string body;
        bool reusable;
    };
    using enum HttpCallResult;
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const auto answer = GENERATE_COPY(Answer{head + "Content-Length: 4\r\n\r\nteak", false, Complete, "teak", true},
                                      Answer{head + "Content-Length: 0\r\n\r\n", false, Complete, "", true},
                                      Answer{head + "Transfer-Encoding: chunked\r\n\r\n4\r\nteak\r\n2\r\n!!\r\n0\r\n\r\n", false, Complete, "teak!!", true},
                                      Answer{head + "Content-Length: 4\r\nConnection: close\r\n\r\nteak", false, Complete, "teak", false},
                                      Answer{"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nteak", false, Complete, "teak", false},
                                      Answer{"HTTP/1.0 200 OK\r\n\r\nteak", true, Complete, "teak", false},
                                      Answer{"HTTP/1.1 204 No Content\r\n\r\n", false, Complete, "", true},
                                      Answer{"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", false, Complete, "", true},
                                      Answer{"HTTP/1.1 103 Early Hints\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok", false, Complete, "ok", true},
                                      Answer{head + "Content-Length: 4\r\n\r\nteak and more", false, Complete, "teak", false},
                                      Answer{head + "Transfer-Encoding: chunked\r\n\r\n4\r\nteak\r\n0\r\n\r\nmore", false, Complete, "teak", false},
                                      Answer{head + "Content-Length: 8\r\n\r\nteak", true, Truncated, "teak", false},
                                      Answer{head + "Transfer-Encoding: chunked\r\n\r\n4\r\nteak\r\n", true, Truncated, "teak", false},
                                      Answer{head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nteak\r\n", false, Truncated, "", false},
                                      Answer{"", true, ConnectionLost, "", false},
                                      Answer{"HTTP/1.1 200 O", true, ConnectionLost, "", false},
                                      Answer{"no answer\r\n\r\n", false, Malformed, "", false},
                                      Answer{head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nteak!", false, Malformed, "", false},
                                      Answer{head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false, Malformed, "", false},
                                      Answer{head + "Content-Length: -4\r\n\r\n", false, Malformed, "", false},
                                      Answer{head + "Transfer-Encoding: gzip\r\n\r\n", false, Malformed, "", false},
                                      Answer{"HTTP/1.1 101 Switching Protocols\r\n\r\n", false, Malformed, "", false},
                                      Answer{head + "X: " + std::string(200000, 'x'), false, Malformed, "", false});
    // The answer arrives in one part or in two parts.
    const std::size_t split = GENERATE(std::size_t(0), std::size_t(1), std::size_t(30));
    INFO(answer.bytes.substr(0, 100) << " split at " << split);
    Setup setup;
    bool sent = false;
    setup.onRequest = [&](RawConnection &connection) {
        connection.send(std::string_view(answer.bytes).substr(0, split));
        setup.loop.callLater(std::chrono::milliseconds(1), [&] {
            connection.send(std::string_view(answer.bytes).substr(std::min(split, answer.bytes.size())));
            if (answer.closes) {
                connection.halfClose();
            }
            sent = true;
        });
    };
    CHECK(setup.run(setup.request()) == answer.result);
    REQUIRE(runUntil(setup.loop, [&] { return sent; }));
    CHECK(setup.receiver->body == answer.body);

    setup.onRequest = [&](RawConnection &connection) { connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"); };
    CHECK(setup.run(setup.request()) == Complete);
    CHECK(setup.server.connections().size() == (answer.reusable ? 1 : 2));
}

TEST_CASE("A body that ends with the connection is truncated if the connection is reset")
{
    Setup setup;
    setup.onRequest = [&](RawConnection &connection) {
        connection.send("HTTP/1.0 200 OK\r\n\r\nteak");
        setup.loop.callLater(std::chrono::milliseconds(1), [&] { connection.reset(); });
    };
    CHECK(setup.run(setup.request()) == HttpCallResult::Truncated);
}

TEST_CASE("A body that ends with the connection is not complete if a reset directly follows the data")
{
    // libuv reports this reset as the end of the stream if the data did not fill its buffer.
    Setup setup;
    setup.onRequest = [](RawConnection &connection) {
        connection.send("HTTP/1.1 200 OK\r\n\r\nteak");
        connection.reset();
    };
    CHECK(setup.run(setup.request()) != HttpCallResult::Complete);
}

TEST_CASE("The client sends method, path, headers and body of the request unchanged")
{
    Setup setup;
    setup.onRequest = [&](RawConnection &connection) { connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n"); };
    HttpClientRequest request = setup.request();
    request.method = "HEAD";
    request.path = "/x?y";
    request.headers = {{"host", "desk"}, {"x-a", "b"}};
    CHECK(setup.run(request) == HttpCallResult::Complete);
    CHECK(setup.requests[0] == "HEAD /x?y HTTP/1.1\r\nhost: desk\r\nx-a: b\r\n\r\n");
    CHECK(setup.receiver->head->contentLength == 2000);

    // The connection is reused after the answer to HEAD.
    setup.onRequest = [&](RawConnection &connection) { connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"); };
    request = setup.request();
    request.method = "POST";
    request.body = RequestBody("teak");
    CHECK(setup.run(request) == HttpCallResult::Complete);
    CHECK(setup.requests[1].ends_with("content-length: 4\r\n\r\nteak"));
    CHECK(setup.server.connections().size() == 1);
}

TEST_CASE("A large request body is sent completely")
{
    Setup setup;
    const std::string body(8000000, 'x');
    RawServer server(setup.loop, [&](RawConnection &connection) {
        if (connection.received().size() > body.size()) {
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
    });
    HttpClientRequest request = setup.request();
    request.to = server.endpoint();
    request.method = "POST";
    request.body = RequestBody(body);
    CHECK(setup.run(request) == HttpCallResult::Complete);
    CHECK(server.connections()[0]->received().ends_with("\r\n\r\n" + body));
}

TEST_CASE("Concurrent requests use separate connections")
{
    Setup setup;
    std::vector<RawConnection *> waiting;
    setup.onRequest = [&](RawConnection &connection) { waiting.push_back(&connection); };
    const auto first = std::make_shared<RecordingReceiver>();
    const auto second = std::make_shared<RecordingReceiver>();
    setup.client.send(setup.request(), first);
    setup.client.send(setup.request(), second);
    CHECK_FALSE(first->result);
    REQUIRE(runUntil(setup.loop, [&] { return waiting.size() == 2; }));
    CHECK(waiting[0] != waiting[1]);
    for (RawConnection *connection : waiting) {
        connection->send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
    CHECK(runUntil(setup.loop, [&] { return first->result && second->result; }));
}

TEST_CASE("A call ends with NotConnected if no byte was sent")
{
    Setup setup;
    HttpClientRequest request = setup.request();

    SECTION("connection refused")
    {
        auto closedServer = std::make_unique<RawServer>(setup.loop, [](RawConnection &) {});
        request.to = closedServer->endpoint();
        closedServer.reset();
        CHECK(setup.run(request) == HttpCallResult::NotConnected);
    }
    SECTION("invalid IP address")
    {
        request.to.address = "no address";
        setup.send(request);
        CHECK_FALSE(setup.receiver->result);
        CHECK(runUntil(setup.loop, [&] { return setup.receiver->result == HttpCallResult::NotConnected; }));
    }
    SECTION("deadline expired before sending")
    {
        request.deadline = setup.loop.now() - std::chrono::seconds(1);
        CHECK(setup.run(request) == HttpCallResult::NotConnected);
        CHECK(setup.requests.empty());
    }
}

TEST_CASE("Timeouts end a request and close its connection")
{
    Setup setup;
    HttpClientRequest request = setup.request();
    HttpCallResult expected = HttpCallResult::NoProgress;

    SECTION("no answer")
    {
        request.progressTimeout = std::chrono::milliseconds(30);
    }
    SECTION("answer stops midway")
    {
        request.progressTimeout = std::chrono::milliseconds(30);
        setup.onRequest = [&](RawConnection &connection) { connection.send("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nteak"); };
    }
    SECTION("request cannot be written")
    {
        request.progressTimeout = std::chrono::milliseconds(30);
        request.method = "POST";
        std::string body;
        body.resize(30000000, 'x');
        request.body = RequestBody(std::move(body));
        setup.onRequest = [&](RawConnection &connection) { connection.pause(); };
    }
    SECTION("deadline")
    {
        expected = HttpCallResult::DeadlineExpired;
        request.deadline = setup.loop.now() + std::chrono::milliseconds(30);
    }
    CHECK(setup.run(request) == expected);
    setup.server.connections()[0]->resume();
    CHECK(runUntil(setup.loop, [&] { return setup.server.connections()[0]->isEnded(); }));
}

// Guards against an answer in a target's place by a node whose event loop is late (review/4).
TEST_CASE("An answer that has arrived before the deadline is delivered, even if the loop only runs after it")
{
    Setup setup;
    setup.onRequest = [&](RawConnection &connection) {
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nteak");
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    };
    HttpClientRequest request = setup.request();
    request.deadline = setup.loop.now() + std::chrono::milliseconds(50);
    CHECK(setup.run(request) == HttpCallResult::Complete);
}

TEST_CASE("Reading stops while the receiver is paused, and the progress timeout does not apply")
{
    constexpr std::size_t bodyBytes = 30000000;
    Setup setup;
    setup.onRequest = [&](RawConnection &connection) {
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'x'));
    };
    HttpClientRequest request = setup.request();
    request.progressTimeout = std::chrono::milliseconds(20);
    const HttpClient::CallId call = setup.send(request);
    setup.receiver->wantsMore = false;
    setup.receiver->keepsBody = false;
    REQUIRE(runUntil(setup.loop, [&] { return setup.receiver->bodyBytes > 0; }));
    const std::size_t read = setup.receiver->bodyBytes;
    bool waited = false;
    setup.loop.callLater(std::chrono::milliseconds(80), [&] { waited = true; });
    REQUIRE(runUntil(setup.loop, [&] { return waited; }));
    CHECK(setup.receiver->bodyBytes == read);
    CHECK_FALSE(setup.receiver->result);
    setup.receiver->wantsMore = true;
    setup.client.resume(call);
    CHECK(runUntil(setup.loop, [&] { return setup.receiver->result.has_value(); }));
    CHECK(setup.receiver->result == HttpCallResult::Complete);
    CHECK(setup.receiver->bodyBytes == bodyBytes);
}

TEST_CASE("Cancelling a request closes its connection")
{
    Setup setup;
    const HttpClient::CallId call = setup.send(setup.request());
    REQUIRE(runUntil(setup.loop, [&] { return !setup.requests.empty(); }));
    setup.client.cancel(call);
    CHECK_FALSE(setup.receiver->result);
    CHECK(runUntil(setup.loop, [&] { return setup.receiver->result == HttpCallResult::Cancelled; }));
    CHECK(runUntil(setup.loop, [&] { return setup.server.connections()[0]->isEnded(); }));
}

TEST_CASE("Pooled connections that the server has closed or sent bytes on are not reused")
{
    Setup setup;
    setup.onRequest = [&](RawConnection &connection) { connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"); };
    REQUIRE(setup.run(setup.request()) == HttpCallResult::Complete);

    SECTION("closed, not yet noticed by the event loop")
    {
        setup.server.connections()[0]->halfClose();
    }
    SECTION("reset")
    {
        setup.server.connections()[0]->reset();
    }
    SECTION("closed earlier")
    {
        setup.server.connections()[0]->close();
        runIterations(setup.loop, 3);
    }
    SECTION("sent unsolicited bytes")
    {
        setup.server.connections()[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
    CHECK(setup.run(setup.request()) == HttpCallResult::Complete);
    CHECK(setup.server.connections().size() == 2);
}

TEST_CASE("A request is not resent after its pooled connection is reset")
{
    Setup setup;
    setup.onRequest = [&](RawConnection &connection) { connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"); };
    REQUIRE(setup.run(setup.request()) == HttpCallResult::Complete);
    setup.onRequest = [&](RawConnection &connection) { connection.reset(); };
    CHECK(setup.run(setup.request()) == HttpCallResult::ConnectionLost);
    CHECK(setup.requests.size() == 2);
}

TEST_CASE("Requests succeed on new connections while pooled ones are unresponsive")
{
    Setup setup;
    const auto answer = [](RawConnection &connection) { connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"); };
    std::vector<RawConnection *> unresponsive;
    setup.onRequest = [&](RawConnection &connection) {
        if (std::ranges::find(unresponsive, &connection) == unresponsive.end()) {
            answer(connection);
        }
    };
    REQUIRE(setup.run(setup.request()) == HttpCallResult::Complete);
    unresponsive.push_back(setup.server.connections()[0].get());

    SECTION("the request demands a fresh connection")
    {
        HttpClientRequest request = setup.request();
        request.freshConnection = true;
        CHECK(setup.run(request) == HttpCallResult::Complete);
    }
    SECTION("the idle connections were closed")
    {
        setup.client.closeIdleConnections(setup.server.endpoint());
        CHECK(setup.run(setup.request()) == HttpCallResult::Complete);
    }
    SECTION("a request timed out on the pooled connection")
    {
        HttpClientRequest request = setup.request();
        request.progressTimeout = std::chrono::milliseconds(30);
        CHECK(setup.run(request) == HttpCallResult::NoProgress);
        CHECK(setup.run(request) == HttpCallResult::Complete);
    }
    CHECK(setup.server.connections().size() == 2);
}

TEST_CASE("An answer whose chunk extension or trailer never ends is cut off")
{
    const std::string begin = GENERATE(std::string("4;a="), std::string("4\r\nteak\r\n0\r\nX-Trailer: "));
    Setup setup;
    setup.onRequest = [&](RawConnection &connection) {
        connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + begin + std::string(300000, 'a'));
    };
    setup.send(setup.request());
    REQUIRE(runUntil(setup.loop, [&] { return setup.receiver->result.has_value(); }));
    CHECK(setup.receiver->result == HttpCallResult::Truncated);
}

TEST_CASE("An answer with a long body in many small chunks with extensions is complete")
{
    std::string body;
    for (int chunk = 0; chunk < 20000; ++chunk) {
        body += "4;name=value\r\nteak\r\n";
    }
    Setup setup;
    setup.onRequest = [&](RawConnection &connection) {
        connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body + "0\r\nX-Trailer: a\r\n\r\n");
    };
    CHECK(setup.run(setup.request()) == HttpCallResult::Complete);
    CHECK(setup.receiver->body.size() == 80000);
}

TEST_CASE("A collected answer whose body never ends is read no further than its limit")
{
    Setup setup;
    setup.onRequest = [&](RawConnection &connection) { connection.send("HTTP/1.1 200 OK\r\n\r\n" + std::string(8000000, 'a')); };
    std::optional<CollectedAnswer> collected;
    std::size_t received = 0;
    HttpAnswerCollector collector(1000, [&](CollectedAnswer answer) { collected = std::move(answer); });
    for (int part = 0; part < 100 && collector.bodyReceived(std::string(1000, 'a')); ++part) {
        received += 1000;
    }
    CHECK(received <= 2000);
    HttpClientRequest request = setup.request();
    request.deadline = setup.loop.now() + std::chrono::milliseconds(300);
    setup.client.send(request, std::make_shared<HttpAnswerCollector>(1000, [&](CollectedAnswer answer) { collected = std::move(answer); }));
    REQUIRE(runUntil(setup.loop, [&] { return collected.has_value(); }));
    CHECK(collected->result == HttpCallResult::Malformed);
    CHECK(collected->body.size() <= 1000);
}

TEST_CASE("A late second copy of a refusal is not taken for the answer to the same request sent again")
{
    const std::string refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    Setup setup;
    setup.onRequest = [&](RawConnection &connection) { connection.send(refusal); };
    HttpClientRequest request = setup.request();
    request.answerId = "9c41";
    REQUIRE(setup.run(request) == HttpCallResult::Complete);
    // The copy is sent once the request has come again, on the connection that had the first answer.
    setup.onRequest = [&](RawConnection &connection) {
        setup.server.connections()[0]->send(refusal);
        setup.loop.callLater(std::chrono::milliseconds(50), [&connection] { connection.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nteak"); });
    };
    REQUIRE(setup.run(request) == HttpCallResult::Complete);
    CHECK(setup.receiver->head->status == 200);
    CHECK(setup.receiver->body == "teak");
}

TEST_CASE("Requests with different answer ids share a connection")
{
    Setup setup;
    setup.onRequest = [&](RawConnection &connection) { connection.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nteak"); };
    for (const char *id : {"1", "2", "3"}) {
        HttpClientRequest request = setup.request();
        request.answerId = id;
        REQUIRE(setup.run(request) == HttpCallResult::Complete);
    }
    CHECK(setup.server.connections().size() == 1);
}
