#include "linkpacer.h"
#include "eventloop.h"
#include "httpexchange.h"
#include "linktraffic.h"
#include "pipelinedserver.h"
#include "rawconnection.h"
#include "rununtil.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace std::chrono_literals;

namespace {

constexpr double bytesPerSecond = 2000000;
constexpr std::size_t largeBytes = 600000;

/** A server whose clients count as being on other VMs, because its address is not theirs, and its link. */
struct PacedServer {
    explicit PacedServer(const std::string &address = "127.0.0.2")
        : server(loop,
                 PipelinedServer::Options{.bodyLimit = 1000, .name = "test", .traffic = &traffic, .use = ConnectionUse::Peers, .pacer = &pacer},
                 [this](std::shared_ptr<HttpExchange> exchange) { exchanges.push_back(std::move(exchange)); })
        , endpoint(std::get<Endpoint>(server.listen({address, 0})))
    {
    }

    std::shared_ptr<HttpExchange> request(RawConnection &client, const std::string &headers = {})
    {
        const std::size_t expected = exchanges.size() + 1;
        client.send("GET /a HTTP/1.1\r\nHost: desk\r\n" + headers + "\r\n");
        REQUIRE(runUntil(loop, [&] { return exchanges.size() == expected; }));
        return exchanges.back();
    }

    EventLoop loop;
    LinkTraffic traffic;
    LinkPacer pacer{loop, bytesPerSecond};
    std::vector<std::shared_ptr<HttpExchange>> exchanges;
    PipelinedServer server;
    Endpoint endpoint;
};

} // namespace

// Guards against small answers and control messages that wait in the system's queues behind large answers (review/4, LOST).
TEST_CASE("Large answers are passed to the system at the pace of the link, and small ones go first")
{
    PacedServer paced;
    RawConnection first(paced.loop, paced.endpoint);
    RawConnection second(paced.loop, paced.endpoint);
    RawConnection third(paced.loop, paced.endpoint);
    const MonotonicTime begun = paced.loop.now();
    paced.request(first)->answer(200, {}, std::string(largeBytes, 'x'));
    paced.request(second)->answer(200, {}, std::string(largeBytes, 'y'));
    paced.request(third)->answer(200, {}, "teak");
    REQUIRE(runUntil(paced.loop, [&] { return third.received().find("teak") != std::string::npos; }));
    CHECK(first.receivedBytes() + second.receivedBytes() < largeBytes);
    CHECK(paced.traffic.of(ConnectionUse::Peers).waiting > largeBytes);
    REQUIRE(runUntil(paced.loop, [&] { return first.receivedBytes() > largeBytes; }));
    // The older one of two answers of the same size is sent completely before the other begins.
    CHECK(second.receivedBytes() < largeBytes / 2);
    REQUIRE(runUntil(paced.loop, [&] { return second.receivedBytes() > largeBytes; }));
    CHECK(paced.loop.now() - begun >= std::chrono::duration<double>(2 * largeBytes / bytesPerSecond));
    CHECK(paced.traffic.of(ConnectionUse::Peers).waiting == 0);
}

TEST_CASE("A client on the same VM gets large answers at once")
{
    PacedServer paced("127.0.0.1");
    RawConnection client(paced.loop, paced.endpoint);
    const MonotonicTime begun = paced.loop.now();
    paced.request(client)->answer(200, {}, std::string(4 * largeBytes, 'x'));
    REQUIRE(runUntil(paced.loop, [&] { return client.receivedBytes() > 4 * largeBytes; }));
    CHECK(paced.loop.now() - begun < std::chrono::duration<double>(4 * largeBytes / bytesPerSecond));
}

TEST_CASE("A paced answer that closes its connection arrives completely, and a client that leaves makes room for the next")
{
    PacedServer paced;
    auto leaving = std::make_unique<RawConnection>(paced.loop, paced.endpoint);
    RawConnection closing(paced.loop, paced.endpoint);
    paced.request(*leaving)->answer(200, {}, std::string(largeBytes, 'x'));
    paced.request(closing, "Connection: close\r\n")->answer(200, {}, std::string(largeBytes, 'y'));
    leaving.reset();
    REQUIRE(runUntil(paced.loop, [&] { return closing.isEnded(); }));
    CHECK(closing.receivedBytes() > largeBytes);
    CHECK_FALSE(closing.wasReset());
}

TEST_CASE("The source of a large answer is paused while the link is busy, and goes on when there is room")
{
    PacedServer paced;
    RawConnection client(paced.loop, paced.endpoint);
    const auto exchange = paced.request(client);
    exchange->beginAnswer({.status = 200, .headers = {}, .contentLength = {}});
    int written = 0;
    bool paused = false;
    const auto writeOn = [&] {
        for (paused = false; written < 20 && !paused; ++written) {
            paused = !exchange->write(std::string(65536, 'z'));
        }
    };
    exchange->setWritableFunction(writeOn);
    writeOn();
    CHECK(paused);
    REQUIRE(runUntil(paced.loop, [&] { return written == 20; }));
    exchange->finish();
    REQUIRE(runUntil(paced.loop, [&] { return client.received().ends_with("0\r\n\r\n"); }));
}
