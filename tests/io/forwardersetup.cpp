#include "forwardersetup.h"

#include "requestmethod.h"

#include "httpexchange.h"

namespace nutmeghinge {

ForwarderSetup::ForwarderSetup()
    : target(loop,
             [this](RawConnection &connection) {
                 if (connection.received().find("\r\n\r\n") == std::string::npos) {
                     return;
                 }
                 targetRequests.push_back(std::exchange(connection.received(), {}));
                 if (onTargetRequest) {
                     onTargetRequest(connection);
                 }
             })
    , client(loop, 4)
    , callers(loop,
              {.name = "callers"},
              [this](std::shared_ptr<HttpExchange> exchange) { forwarder.accept(std::move(exchange), RequestForwarder::Source::Caller); })
    , peers(loop, {.name = "peers"}, [this](std::shared_ptr<HttpExchange> exchange) { forwarder.accept(std::move(exchange), RequestForwarder::Source::Peer); })
    , callerEndpoint(std::get<Endpoint>(callers.listen({"127.0.0.1", 0})))
    , peerEndpoint(std::get<Endpoint>(peers.listen({"127.0.0.1", 0})))
    , forwarder(loop, client, protocol, [this](const EventBody &event) {
        events.push_back(event);
        if (onEvent) {
            onEvent(event);
        }
    })
{
}

SendToTarget ForwarderSetup::toTarget(RequestId request, std::uint64_t attempt) const
{
    SendToTarget effect;
    effect.request = request;
    effect.attempt = AttemptId(attempt);
    effect.endpoint = target.endpoint();
    effect.shard = ShardIndex(5);
    effect.fence = {.term = Term(3), .sequence = 9};
    effect.deadline = loop.now() + timeout;
    return effect;
}

ForwardRequest ForwarderSetup::toPeer(RequestId request, std::uint64_t attempt) const
{
    ForwardRequest effect;
    effect.request = request;
    effect.attempt = AttemptId(attempt);
    effect.peer = target.endpoint();
    effect.deadline = loop.now() + timeout;
    effect.hops = 1;
    return effect;
}

void ForwarderSetup::sendToTarget(bool keepAnswer)
{
    onEvent = [this, keepAnswer](const EventBody &event) {
        if (const auto *arrived = std::get_if<RequestArrived>(&event)) {
            SendToTarget effect = toTarget(arrived->request, arrived->request.value());
            effect.keepAnswer = keepAnswer;
            effect.deadlineForHeadOnly = isSafeMethod(arrived->method);
            effect.mayBeIdle = !effect.deadlineForHeadOnly;
            forwarder.run(effect);
        }
    };
}

void ForwarderSetup::sendToPeer()
{
    onEvent = [this](const EventBody &event) {
        if (const auto *arrived = std::get_if<RequestArrived>(&event)) {
            forwarder.run(toPeer(arrived->request, arrived->request.value()));
        }
    };
}

} // namespace nutmeghinge
