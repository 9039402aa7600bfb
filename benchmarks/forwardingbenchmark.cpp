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

/** Ends the run of the loop with the answer. */
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

/** A caller, a node's forwarder and a target, all on one loop. */
struct Path {
    Path()
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

/** Both ends of one request to the target, without a node. */
void requestDirectly(benchmark::State &state)
{
    Path path;
    for (auto _ : state) {
        path.request(path.target);
    }
}
BENCHMARK(requestDirectly);

/** The same request through a node's forwarder; the difference is what the node costs. */
void requestThroughForwarder(benchmark::State &state)
{
    Path path;
    for (auto _ : state) {
        path.request(path.callers);
    }
}
BENCHMARK(requestThroughForwarder);

} // namespace
