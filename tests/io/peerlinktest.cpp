#include "peerlink.h"
#include "looprunner.h"
#include "peerlimits.h"
#include "rawconnection.h"
#include "tcprelay.h"

#include <catch2/catch.hpp>
#include <numeric>

using namespace nutmeghinge;
using namespace std::chrono_literals;

namespace {

const Endpoint anyPort{"127.0.0.1", 0};

/** The links of two nodes on one loop. The sender reaches the receiver over a relay. */
class Fixture
{
public:
    Fixture()
        : receiver(loop, [this](PeerMessageArrived message) { received.push_back(std::move(message)); })
        , sender(loop, [](const PeerMessageArrived &) {})
        , receiverEndpoint(std::get<Endpoint>(receiver.listen(anyPort)))
        , relay(loop, receiverEndpoint)
    {
    }

    void send(std::uint64_t sequence, const Endpoint &to)
    {
        sender.send({to, MemberSlot(7), ServiceName("roster"), HandoverAccepted{ShardIndex(1), {Term(1), sequence}}});
    }

    void send(std::uint64_t sequence) { send(sequence, relay.endpoint()); }

    std::vector<std::uint64_t> sequences() const
    {
        std::vector<std::uint64_t> result;
        for (const PeerMessageArrived &message : received) {
            result.push_back(std::get<HandoverAccepted>(message.message).fence.sequence);
        }
        return result;
    }

    bool arrives(std::uint64_t sequence, Duration limit = 5s)
    {
        return runner.runUntil(
            [&] {
                const auto arrived = sequences();
                return std::find(arrived.begin(), arrived.end(), sequence) != arrived.end();
            },
            limit);
    }

    EventLoop loop;
    LoopRunner runner{loop};
    std::vector<PeerMessageArrived> received;
    PeerLink receiver;
    PeerLink sender;
    Endpoint receiverEndpoint;
    TcpRelay relay;
};

} // namespace

TEST_CASE("Messages arrive in order over one connection")
{
    Fixture fixture;
    for (std::uint64_t i = 1; i <= 50; ++i) {
        fixture.send(i);
    }
    REQUIRE(fixture.arrives(50));
    std::vector<std::uint64_t> expected(50);
    std::iota(expected.begin(), expected.end(), 1);
    CHECK(fixture.sequences() == expected);
    CHECK(fixture.relay.accepted() == 1);
    CHECK(fixture.received.front().from == MemberSlot(7));
    CHECK(fixture.received.front().service == ServiceName("roster"));
    CHECK(fixture.sender.messagesSent() == 50);
    CHECK(fixture.sender.bytesSent() > 5000);
}

TEST_CASE("After a connection was closed, the next message is sent on a new one")
{
    Fixture fixture;
    fixture.send(1);
    REQUIRE(fixture.arrives(1));
    fixture.runner.runFor(10ms);
    fixture.relay.closeCurrent();
    fixture.runner.runFor(10ms);
    fixture.send(2);
    CHECK(fixture.arrives(2, 200ms));
    CHECK(fixture.relay.accepted() == 2);
}

TEST_CASE("An unresponsive connection is replaced when a call times out")
{
    Fixture fixture;
    fixture.send(1);
    REQUIRE(fixture.arrives(1));
    fixture.runner.runFor(10ms);
    fixture.relay.stallCurrent();
    const MonotonicTime start = fixture.loop.now();
    std::uint64_t sequence = 1;
    while (fixture.received.size() < 2 && fixture.loop.now() - start < 2s) {
        fixture.send(++sequence);
        fixture.runner.runFor(80ms);
    }
    CHECK(fixture.received.size() >= 2);
    CHECK(fixture.relay.accepted() == 2);
    CHECK(fixture.loop.now() - start < 700ms);
}

TEST_CASE("Reconnections to a peer that accepts but never answers are made with increasing delays")
{
    Fixture fixture;
    fixture.relay.setStallNew(true);
    const MonotonicTime start = fixture.loop.now();
    while (fixture.loop.now() - start < 1500ms) {
        fixture.send(1);
        fixture.runner.runFor(10ms);
    }
    CHECK(fixture.relay.accepted() >= 2);
    CHECK(fixture.relay.accepted() <= 5);
    fixture.relay.setStallNew(false);
    bool reached = false;
    while (!reached && fixture.loop.now() - start < 4s) {
        fixture.send(2);
        reached = fixture.arrives(2, 20ms);
    }
    CHECK(reached);
}

TEST_CASE("A peer that refused connections is reached soon after it listens again")
{
    Fixture fixture;
    PeerLink late(fixture.loop, [](const PeerMessageArrived &) {});
    const auto endpoint = std::get<Endpoint>(late.listen(anyPort));
    late.close();
    fixture.runner.runFor(20ms);
    for (int i = 0; i < 20; ++i) {
        fixture.send(1, endpoint);
        fixture.runner.runFor(5ms);
    }
    std::size_t arrived = 0;
    PeerLink restarted(fixture.loop, [&](const PeerMessageArrived &) { ++arrived; });
    REQUIRE(std::holds_alternative<Endpoint>(restarted.listen(endpoint)));
    const MonotonicTime start = fixture.loop.now();
    while (arrived == 0 && fixture.loop.now() - start < 2s) {
        fixture.send(2, endpoint);
        fixture.runner.runFor(5ms);
    }
    CHECK(arrived > 0);
    CHECK(fixture.loop.now() - start <= peerlimits::maxReconnectDelay + 200ms);
}

TEST_CASE("The number of unanswered calls to an unresponsive peer is limited")
{
    Fixture fixture;
    fixture.relay.setStallNew(true);
    for (std::uint64_t i = 0; i < 1000; ++i) {
        fixture.send(i);
    }
    CHECK(fixture.sender.messagesSent() == peerlimits::outstandingCalls);
    CHECK_FALSE(fixture.arrives(0, 50ms));
}

TEST_CASE("A message with a field out of range is rejected, and later messages still arrive")
{
    Fixture fixture;
    fixture.sender.send({fixture.relay.endpoint(), MemberSlot(7), ServiceName("roster"), HandoverAccepted{ShardIndex(1), {Term(~std::uint64_t(0)), 1}}});
    fixture.sender.send({fixture.relay.endpoint(), noMember, ServiceName("roster"), HandoverAccepted{ShardIndex(1), {Term(1), 1}}});
    fixture.send(2);
    REQUIRE(fixture.arrives(2));
    CHECK(fixture.received.size() == 1);
    CHECK(fixture.relay.accepted() == 1);
}

TEST_CASE("The sender drops a message over the size limit")
{
    Fixture fixture;
    HandoverOffer offer{ShardIndex(1), {Term(1), 1}, {}};
    const std::string body(peerlimits::messageWords * 8, 'x');
    offer.entries.push_back({ShardIndex(1), "key", StoredAnswer{200, {}, body}, Duration(0)});
    fixture.sender.send({fixture.relay.endpoint(), MemberSlot(7), ServiceName("roster"), offer});
    fixture.send(2);
    REQUIRE(fixture.arrives(2));
    CHECK(fixture.received.size() == 1);
    CHECK(fixture.relay.accepted() == 1);
}

TEST_CASE("A large message below the size limit arrives complete")
{
    Fixture fixture;
    HandoverOffer offer{ShardIndex(1), {Term(1), 1}, {}};
    offer.entries.push_back({ShardIndex(1), "key", StoredAnswer{200, {}, std::string(3000000, 'x')}, Duration(0)});
    fixture.sender.send({fixture.relay.endpoint(), MemberSlot(7), ServiceName("roster"), offer});
    REQUIRE(fixture.runner.runUntil([&] { return !fixture.received.empty(); }));
    CHECK(std::get<HandoverOffer>(fixture.received.front().message) == offer);
}

TEST_CASE("Input that is not Cap'n Proto closes only its own connection")
{
    Fixture fixture;
    fixture.send(1, fixture.receiverEndpoint);
    REQUIRE(fixture.arrives(1));
    RawConnection connection(fixture.loop, fixture.receiverEndpoint);
    connection.send("GET / HTTP/1.1\r\nhost: peer\r\n\r\n");
    CHECK(fixture.runner.runUntil([&] { return connection.isEnded(); }));
    fixture.send(2, fixture.receiverEndpoint);
    CHECK(fixture.arrives(2));
}

TEST_CASE("Listening fails on a host name and on an address of another machine")
{
    EventLoop loop;
    PeerLink link(loop, [](const PeerMessageArrived &) {});
    CHECK(std::holds_alternative<ListenError>(link.listen({"localhost", 0})));
    CHECK(std::holds_alternative<ListenError>(link.listen({"192.0.2.1", 0})));
}
