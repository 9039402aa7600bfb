#include "forwardersetup.h"
#include "httpexchange.h"
#include "linktraffic.h"
#include "notrunreasonname.h"
#include "pipelinedserver.h"
#include "tcprelay.h"
#include "wireheaders.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace std::chrono_literals;

namespace {

/** A node's listener for peers that is reached over a network with a delay. */
struct DistantPeer {
    explicit DistantPeer(ForwarderSetup &usedSetup)
        : setup(usedSetup)
        , server(setup.loop,
                 {.bodyLimit = 1000,
                  .name = "peers",
                  .closingHeaders = {{std::string(wire::outcome), std::string(wire::notRun)},
                                     {std::string(wire::reason), std::string(nameOf(NotRunReason::NotConnected))}},
                  .traffic = &traffic,
                  .use = ConnectionUse::Peers},
                 [this](const std::shared_ptr<HttpExchange> &exchange) {
                     ++handled;
                     exchange->answer(200, {}, "teak");
                 })
        , relay(setup.loop, std::get<Endpoint>(server.listen({"127.0.0.1", 0})))
    {
        relay.setDelayNew(20ms);
        setup.onEvent = [this](const EventBody &event) {
            if (const auto *arrived = std::get_if<RequestArrived>(&event)) {
                ForwardRequest forward = setup.toPeer(arrived->request, arrived->request.value());
                forward.peer = relay.endpoint();
                setup.forwarder.run(forward);
            }
        };
    }

    ForwarderSetup &setup;
    LinkTraffic traffic;
    int handled = 0;
    PipelinedServer server;
    TcpRelay relay;
};

} // namespace

TEST_CASE("A request that crosses the close of a peer's connection is known not to have run, at each moment of the close")
{
    ForwarderSetup setup;
    DistantPeer peer(setup);
    RawConnection caller(setup.loop, setup.callerEndpoint);
    caller.send("GET /a HTTP/1.1\r\nHost: d\r\n\r\n");
    REQUIRE(setup.await<AttemptFinished>(1));
    peer.server.shutDown([] {});
    const auto moment = GENERATE(0ms, 200ms, 225ms, 232ms, 240ms, 245ms, 255ms, 265ms);
    bool sent = false;
    setup.loop.callLater(moment, [&] {
        caller.send("GET /b HTTP/1.1\r\nHost: d\r\n\r\n");
        sent = true;
    });
    REQUIRE(setup.await<AttemptFinished>(2));
    const auto result = setup.all<AttemptFinished>()[1].result;
    CAPTURE(moment.count(), peer.handled);
    CHECK(sent);
    // A request that came too late for the connection went to a new one, which the relay accepted in the closed listener's place.
    if (peer.relay.accepted() == 1) {
        CHECK(std::holds_alternative<AttemptAnswered>(result) == (peer.handled == 2));
        CHECK(std::holds_alternative<AttemptNotRun>(result) == (peer.handled == 1));
    }
}
