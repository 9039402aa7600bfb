#include "eventloop.h"
#include "httpclient.h"
#include "httpexchange.h"
#include "httpserver.h"
#include "nativerequestprotocol.h"
#include "requestforwarder.h"

#include <benchmark/benchmark.h>

#include <optional>

namespace {

using namespace nutmeghinge;

/** Receives an answer and stops the loop at its end. */
class Caller final : public HttpAnswerReceiver
{
public:
    explicit Caller(EventLoop &loop)
        : m_loop(loop)
    {
    }

    void headReceived(const HttpAnswerHead &) override { }
    bool bodyReceived(std::string_view) override { return true; }
    void finished(HttpCallResult) override { m_loop.stop(); }

private:
    EventLoop &m_loop;
};

/** A caller, the request forwarder of a node and a target on one event loop. */
struct ForwardingFixture {
    ForwardingFixture()
        : targetServer(loop, {.name = "target"}, [](const std::shared_ptr<HttpExchange> &exchange) { exchange->answer(200, {}, "teak"); })
        , callerServer(loop,
                       {.name = "callers"},
                       [this](std::shared_ptr<HttpExchange> exchange) { forwarder.accept(std::move(exchange), RequestForwarder::Source::Caller); })
        , target(std::get<Endpoint>(targetServer.listen({"127.0.0.1", 0})))
        , callers(std::get<Endpoint>(callerServer.listen({"127.0.0.1", 0})))
        , client(loop, 4)
        , forwarder(loop, client, protocol, [this](const EventBody &event) { forward(event); })
    {
    }

    void forward(const EventBody &event)
    {
        const auto *arrived = std::get_if<RequestArrived>(&event);
        if (arrived == nullptr) {
            return;
        }
        SendToTarget effect;
        effect.request = arrived->request;
        effect.attempt = AttemptId(arrived->request.value());
        effect.endpoint = target;
        effect.deadline = loop.now() + std::chrono::seconds(30);
        forwarder.run(effect);
    }

    void request(const Endpoint &to)
    {
        client.send({.to = to, .headers = {}, .body = {}}, std::make_shared<Caller>(loop));
        loop.run();
    }

    EventLoop loop;
    HttpServer targetServer;
    HttpServer callerServer;
    Endpoint target;
    Endpoint callers;
    HttpClient client;
    NativeRequestProtocol protocol;
    RequestForwarder forwarder;
};

/** Sends a request straight to the target, without a node. */
void requestDirectly(benchmark::State &state)
{
    ForwardingFixture fixture;
    for (auto _ : state) {
        fixture.request(fixture.target);
    }
}
BENCHMARK(requestDirectly);

/** Sends the same request through the request forwarder; the difference to requestDirectly is the cost of the node. */
void requestThroughForwarder(benchmark::State &state)
{
    ForwardingFixture fixture;
    for (auto _ : state) {
        fixture.request(fixture.callers);
    }
}
BENCHMARK(requestThroughForwarder);

} // namespace
