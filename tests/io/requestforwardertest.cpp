#include "forwardersetup.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;

namespace {

const std::string getRequest = "GET /a HTTP/1.1\r\nHost: d\r\n\r\n";
const std::string okHead = "HTTP/1.1 200 OK\r\n";

bool contains(std::string_view text, std::string_view part)
{
    return text.find(part) != std::string_view::npos;
}

std::string valueOf(const std::string &head, const std::string &name)
{
    const std::size_t begin = head.find("\r\n" + name + ": ");
    if (begin == std::string::npos) {
        return {};
    }
    const std::size_t value = begin + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
}

} // namespace

TEST_CASE("A caller's request is sent to the target without reserved and hop-by-hop headers")
{
    ForwarderSetup setup;
    setup.sendToTarget();
    setup.onTargetRequest = [](RawConnection &connection) {
        connection.send(okHead + "Content-Length: 4\r\nX-A: b\r\nKeep-Alive: 5\r\nNutmeghinge-Load: 3\r\n\r\nteak");
    };
    RawConnection caller(setup.loop, setup.callerEndpoint);
    caller.send("POST /a?b HTTP/1.1\r\nHost: Desk.Example:8080\r\nContent-Length: 3\r\nX-Own: kept\r\nPrefer: respond-async, wait=7\r\n"
                "Nutmeghinge-Hops: 0\r\nNUTMEGHINGE-Fence: 99.99\r\nnutmeghinge-deadline-ms: 1\r\n"
                "Connection: keep-alive, X-Hop\r\nX-Hop: x\r\nTE: trailers\r\nProxy-Authorization: x\r\n\r\noak");
    REQUIRE(runUntil(setup.loop, [&] { return caller.received().ends_with("teak"); }));

    const RequestArrived arrived = setup.all<RequestArrived>().at(0);
    CHECK(arrived.host == "desk.example");
    CHECK(arrived.method == "POST");
    CHECK(arrived.path == "/a?b");
    CHECK(arrived.timeout == std::chrono::seconds(7));
    CHECK(arrived.hops == 0);
    CHECK(arrived.bodySize == 3);
    CHECK(arrived.headers == HttpHeaders{{"x-own", "kept"}, {"prefer", "respond-async, wait=7"}});

    const std::string &sent = setup.targetRequests.at(0);
    CHECK(sent.starts_with("POST /a?b HTTP/1.1\r\n"));
    CHECK(sent.ends_with("\r\n\r\noak"));
    CHECK(valueOf(sent, "nutmeghinge-fence") == "3.9");
    CHECK(valueOf(sent, "nutmeghinge-shard") == "5");
    CHECK(valueOf(sent, "host") == "Desk.Example:8080");
    CHECK(valueOf(sent, "x-own") == "kept");
    CHECK(std::stoi(valueOf(sent, "nutmeghinge-deadline-ms")) > 1000);
    CHECK(valueOf(sent, "nutmeghinge-request-id").ends_with("-1"));
    for (const char *dropped : {"hops", "x-hop", "te:", "proxy-", "99.99", "connection"}) {
        CHECK_FALSE(contains(sent, dropped));
    }

    CHECK(contains(caller.received(), "x-a: b\r\n"));
    CHECK_FALSE(contains(caller.received(), "keep-alive: 5"));
    CHECK_FALSE(contains(caller.received(), "nutmeghinge-load"));
    CHECK(setup.all<AttemptAnswering>().size() == 1);
    REQUIRE(setup.result<AttemptAnswered>());
    CHECK(setup.result<AttemptAnswered>()->status == 200);
    CHECK_FALSE(setup.result<AttemptAnswered>()->answer);
    CHECK(setup.forwarder.openRequests() == 0);
}

TEST_CASE("Deadline and hops of a peer's request are read from its headers, and the answer repeats its id")
{
    ForwarderSetup setup;
    setup.sendToPeer();
    setup.onTargetRequest = [](RawConnection &connection) { connection.send(okHead + "Content-Length: 0\r\n\r\n"); };
    RawConnection peer(setup.loop, setup.peerEndpoint);
    peer.send("GET /a HTTP/1.1\r\nHost: d\r\nnutmeghinge-deadline-ms: 1500\r\nnutmeghinge-hops: 2\r\nnutmeghinge-request-id: a-1\r\n\r\n");
    REQUIRE(setup.await<AttemptFinished>());
    REQUIRE(runUntil(setup.loop, [&] { return contains(peer.received(), "\r\n\r\n"); }));
    const RequestArrived arrived = setup.all<RequestArrived>().at(0);
    CHECK(arrived.timeout == std::chrono::milliseconds(1500));
    CHECK(arrived.hops == 2);
    CHECK(arrived.headers.empty());
    CHECK(contains(peer.received(), "nutmeghinge-request-id: a-1\r\n"));
    CHECK(valueOf(setup.targetRequests.at(0), "nutmeghinge-hops") == "1");
    CHECK(valueOf(setup.targetRequests.at(0), "nutmeghinge-fence").empty());
    CHECK(valueOf(setup.targetRequests.at(0), "host") == "d");
}

TEST_CASE("Refusals of targets and peers are parsed and not forwarded to the caller")
{
    struct Refusal {
        bool fromPeer;
        std::string head;
        std::optional<NotRunReason> reason;
        std::optional<Duration> retryAfter;
        std::optional<Fence> newerFence;
    };
    const std::string notRun = "nutmeghinge-outcome: not-run\r\n";
    const auto refusal =
        GENERATE_COPY(Refusal{false, "HTTP/1.1 503 Busy\r\nRetry-After: 2\r\n" + notRun, NotRunReason::Overloaded, std::chrono::seconds(2), {}},
                      Refusal{false, "HTTP/1.1 409 Conflict\r\nnutmeghinge-newer-fence: 4.1\r\n" + notRun, NotRunReason::StaleFence, {}, Fence{Term(4), 1}},
                      Refusal{false, "HTTP/1.1 409 Conflict\r\nnutmeghinge-newer-fence: 4.x\r\n" + notRun, NotRunReason::StaleFence, {}, {}},
                      // The reason header is ignored in refusals of targets.
                      Refusal{false, "HTTP/1.1 503 Busy\r\nnutmeghinge-reason: not-owner\r\n" + notRun, NotRunReason::Overloaded, {}, {}},
                      Refusal{true, "HTTP/1.1 503 Busy\r\nnutmeghinge-reason: not-owner\r\n" + notRun, NotRunReason::NotOwner, {}, {}},
                      Refusal{true, "HTTP/1.1 503 Busy\r\nRetry-After: soon\r\nnutmeghinge-reason: stopping\r\n" + notRun, NotRunReason::Stopping, {}, {}},
                      Refusal{true, "HTTP/1.1 503 Busy\r\nnutmeghinge-reason: made-up\r\n" + notRun, NotRunReason::Overloaded, {}, {}},
                      Refusal{true, "HTTP/1.1 502 Bad\r\nnutmeghinge-outcome: unknown\r\n", {}, {}, {}});
    ForwarderSetup setup;
    if (refusal.fromPeer) {
        setup.sendToPeer();
    } else {
        setup.sendToTarget();
    }
    setup.onTargetRequest = [&](RawConnection &connection) { connection.send(refusal.head + "Content-Length: 4\r\n\r\nbusy"); };
    RawConnection caller(setup.loop, setup.callerEndpoint);
    caller.send(getRequest);
    REQUIRE(setup.await<AttemptFinished>());
    if (refusal.reason) {
        REQUIRE(setup.result<AttemptNotRun>());
        CHECK(setup.result<AttemptNotRun>()->reason == refusal.reason);
        CHECK(setup.result<AttemptNotRun>()->retryAfter == refusal.retryAfter);
        CHECK(setup.result<AttemptNotRun>()->newerFence == refusal.newerFence);
    } else {
        REQUIRE(setup.result<AttemptUnknown>());
        CHECK(setup.result<AttemptUnknown>()->reason == AttemptUnknown::Reason::PeerUnknown);
        CHECK_FALSE(setup.result<AttemptUnknown>()->answerBegun);
    }
    runIterations(setup.loop, 3);
    CHECK(caller.received().empty());
    CHECK(setup.forwarder.openRequests() == 1);

    // The request is still open and is retried on the same connection.
    setup.onTargetRequest = [&](RawConnection &connection) { connection.send(okHead + "Content-Length: 2\r\n\r\nok"); };
    setup.forwarder.run(setup.toTarget(RequestId(1), 8));
    CHECK(runUntil(setup.loop, [&] { return caller.received().ends_with("ok"); }));
    CHECK(setup.target.connections().size() == 1);
}

TEST_CASE("An answer to another attempt is not forwarded, and its connection is not reused")
{
    ForwarderSetup setup;
    setup.sendToTarget();
    setup.onTargetRequest = [](RawConnection &connection) { connection.send(okHead + "nutmeghinge-request-id: 1-1\r\nContent-Length: 4\r\n\r\nteak"); };
    RawConnection caller(setup.loop, setup.callerEndpoint);
    caller.send(getRequest);
    REQUIRE(setup.await<AttemptFinished>());
    REQUIRE(setup.result<AttemptUnknown>());
    CHECK(setup.result<AttemptUnknown>()->reason == AttemptUnknown::Reason::WrongAnswer);
    CHECK_FALSE(setup.result<AttemptUnknown>()->answerBegun);
    CHECK(runUntil(setup.loop, [&] { return setup.target.connections()[0]->isEnded(); }));
    CHECK(caller.received().empty());
    CHECK(setup.all<AttemptFinished>().size() == 1);

    // An answer with the right attempt id is accepted.
    setup.onTargetRequest = [&](RawConnection &connection) {
        connection.send(okHead + "nutmeghinge-request-id: " + valueOf(setup.targetRequests.back(), "nutmeghinge-request-id")
                        + "\r\nContent-Length: 4\r\n\r\nteak");
    };
    setup.forwarder.run(setup.toTarget(RequestId(1), 8));
    CHECK(runUntil(setup.loop, [&] { return caller.received().ends_with("teak"); }));
}

TEST_CASE("An answer cut off at any byte is never forwarded as complete")
{
    const std::string answer =
        GENERATE(as<std::string>(), okHead + "Content-Length: 4\r\n\r\nteak", okHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nteak\r\n0\r\n\r\n");
    const bool keepAnswer = GENERATE(false, true);
    const std::size_t headBytes = answer.find("\r\n\r\n") + 4;
    for (std::size_t cut = 0; cut < answer.size(); ++cut) {
        ForwarderSetup setup;
        setup.sendToTarget(keepAnswer);
        setup.onTargetRequest = [&](RawConnection &connection) {
            connection.send(answer.substr(0, cut));
            connection.halfClose();
        };
        RawConnection caller(setup.loop, setup.callerEndpoint);
        caller.send(getRequest);
        REQUIRE(setup.await<AttemptFinished>());
        INFO("cut at " << cut);
        REQUIRE(setup.result<AttemptUnknown>());
        const bool begun = cut >= headBytes && !keepAnswer;
        CHECK(setup.result<AttemptUnknown>()->answerBegun == begun);
        CHECK((setup.result<AttemptUnknown>()->reason == AttemptUnknown::Reason::TruncatedAnswer) == (cut >= headBytes));
        if (begun) {
            REQUIRE(runUntil(setup.loop, [&] { return caller.isEnded(); }));
            CHECK(caller.wasReset());
            CHECK_FALSE(caller.received().ends_with("0\r\n\r\n"));
            CHECK(setup.forwarder.openRequests() == 0);
        } else {
            CHECK(caller.received().empty());
            CHECK(setup.forwarder.openRequests() == 1);
        }
    }
}

TEST_CASE("With keepAnswer, an answer within the limit is stored in the result, and a larger one is only forwarded")
{
    ForwarderSetup setup;
    setup.sendToTarget(true);
    RawConnection caller(setup.loop, setup.callerEndpoint);
    SECTION("within the limit")
    {
        setup.onTargetRequest = [](RawConnection &connection) { connection.send(okHead + "X-A: b\r\nContent-Length: 4\r\n\r\nteak"); };
        caller.send(getRequest);
        REQUIRE(setup.await<AttemptFinished>());
        REQUIRE(setup.result<AttemptAnswered>());
        CHECK(setup.result<AttemptAnswered>()->answer == StoredAnswer{200, {{"x-a", "b"}}, "teak"});
        CHECK(runUntil(setup.loop, [&] { return caller.received().ends_with("\r\n\r\nteak"); }));
    }
    SECTION("over the limit")
    {
        const bool chunked = GENERATE(false, true);
        const std::string body(200000, 'x');
        setup.onTargetRequest = [&](RawConnection &connection) {
            connection.send(chunked ? okHead + "Transfer-Encoding: chunked\r\n\r\n30d40\r\n" + body + "\r\n0\r\n\r\n"
                                    : okHead + "Content-Length: 200000\r\n\r\n" + body);
        };
        caller.send(getRequest);
        REQUIRE(setup.await<AttemptFinished>());
        REQUIRE(setup.result<AttemptAnswered>());
        CHECK_FALSE(setup.result<AttemptAnswered>()->answer);
        CHECK(runUntil(setup.loop, [&] { return caller.receivedBytes() > body.size(); }));
    }
    SECTION("the caller has disconnected")
    {
        setup.onTargetRequest = [&](RawConnection &) { caller.close(); };
        caller.send(getRequest);
        REQUIRE(setup.await<RequestCancelled>());
        setup.target.connections()[0]->send(okHead + "Content-Length: 4\r\n\r\nteak");
        REQUIRE(setup.await<AttemptFinished>());
        REQUIRE(setup.result<AttemptAnswered>());
        CHECK(setup.result<AttemptAnswered>()->answer->body == "teak");
    }
    CHECK(setup.forwarder.openRequests() == 0);
}

TEST_CASE("A caller that disconnects cancels its request exactly once")
{
    ForwarderSetup setup;
    setup.sendToTarget();
    RawConnection caller(setup.loop, setup.callerEndpoint);
    SECTION("before the answer")
    {
        caller.send(getRequest);
        REQUIRE(runUntil(setup.loop, [&] { return !setup.targetRequests.empty(); }));
        caller.close();
        REQUIRE(setup.await<RequestCancelled>());
        CHECK(setup.all<AttemptFinished>().empty());
        setup.forwarder.run(CancelAttempt{AttemptId(1)});
        CHECK(setup.all<AttemptFinished>().empty());
        REQUIRE(setup.await<AttemptFinished>());
        CHECK_FALSE(setup.result<AttemptUnknown>()->answerBegun);
    }
    SECTION("during the answer")
    {
        setup.onTargetRequest = [&](RawConnection &connection) { connection.send(okHead + "Content-Length: 8\r\n\r\nteak"); };
        caller.send(getRequest);
        REQUIRE(runUntil(setup.loop, [&] { return caller.received().ends_with("teak"); }));
        caller.reset();
        REQUIRE(setup.await<RequestCancelled>());
        setup.forwarder.run(CancelAttempt{AttemptId(1)});
        REQUIRE(setup.await<AttemptFinished>());
    }
    CHECK(runUntil(setup.loop, [&] { return setup.target.connections()[0]->isEnded(); }));
    CHECK(setup.all<RequestCancelled>().size() == 1);
    CHECK(setup.all<AttemptFinished>().size() == 1);
    CHECK(setup.forwarder.openRequests() == 0);
    setup.forwarder.run(AnswerFromStore{RequestId(1), {200, {}, "late"}});

    // An attempt for a request that has ended finishes as not run and sends nothing.
    setup.forwarder.run(setup.toTarget(RequestId(1), 8));
    CHECK(setup.all<AttemptFinished>().size() == 1);
    REQUIRE(setup.await<AttemptFinished>(2));
    CHECK(std::holds_alternative<AttemptNotRun>(setup.all<AttemptFinished>()[1].result));
    CHECK(setup.targetRequests.size() == 1);
}

TEST_CASE("Refusals by the node state the outcome and the retry delay")
{
    ForwarderSetup setup;
    RefuseRequest refusal;
    refusal.reason = NotRunReason::NotOwner;
    refusal.retryAfter = std::chrono::milliseconds(1200);
    refusal.detail = "no \"owner\"";
    setup.onEvent = [&](const EventBody &event) {
        if (const auto *arrived = std::get_if<RequestArrived>(&event)) {
            refusal.request = arrived->request;
            setup.forwarder.run(refusal);
        }
    };
    RawConnection caller(setup.loop, setup.callerEndpoint);
    caller.send(getRequest);
    REQUIRE(runUntil(setup.loop, [&] { return caller.received().ends_with("}\n"); }));
    CHECK(caller.received().starts_with("HTTP/1.1 503 "));
    CHECK(caller.received().ends_with("\r\n\r\n{\"error\":\"no \\\"owner\\\"\",\"outcome\":\"not-run\"}\n"));
    CHECK(contains(caller.received(), "nutmeghinge-outcome: not-run\r\n"));
    CHECK(contains(caller.received(), "retry-after: 2\r\n"));
    CHECK_FALSE(contains(caller.received(), "not-owner"));

    RawConnection peer(setup.loop, setup.peerEndpoint);
    peer.send("GET /a HTTP/1.1\r\nHost: d\r\nnutmeghinge-request-id: a-7\r\n\r\n");
    REQUIRE(runUntil(setup.loop, [&] { return peer.received().ends_with("}\n"); }));
    CHECK(contains(peer.received(), "nutmeghinge-reason: not-owner\r\n"));
    CHECK(contains(peer.received(), "nutmeghinge-request-id: a-7\r\n"));

    refusal.status = 504;
    refusal.outcome = Outcome::Unknown;
    refusal.retryAfter = Duration::zero();
    refusal.detail = "broken \xff text";
    caller.received().clear();
    caller.send(getRequest);
    REQUIRE(runUntil(setup.loop, [&] { return caller.received().ends_with("}\n"); }));
    CHECK(contains(caller.received(), "nutmeghinge-outcome: unknown\r\n"));
    CHECK_FALSE(contains(caller.received(), "retry-after"));
    CHECK(setup.forwarder.openRequests() == 0);
}

TEST_CASE("A stored answer is sent to the caller")
{
    ForwarderSetup setup;
    setup.onEvent = [&](const EventBody &event) {
        if (const auto *arrived = std::get_if<RequestArrived>(&event)) {
            setup.forwarder.run(AnswerFromStore{arrived->request, {201, {{"x-a", "b"}}, "made"}});
        }
    };
    RawConnection caller(setup.loop, setup.callerEndpoint);
    caller.send(getRequest);
    REQUIRE(runUntil(setup.loop, [&] { return caller.received().ends_with("made"); }));
    CHECK(caller.received().starts_with("HTTP/1.1 201 Created\r\n"));
    CHECK(contains(caller.received(), "x-a: b\r\n"));
    CHECK_FALSE(contains(lowerCase(caller.received()), "server:"));
}

TEST_CASE("An attempt whose connection is refused is reported as not run")
{
    ForwarderSetup setup;
    setup.onEvent = [&](const EventBody &event) {
        if (const auto *arrived = std::get_if<RequestArrived>(&event)) {
            SendToTarget effect = setup.toTarget(arrived->request);
            RawServer closedServer(setup.loop, [](RawConnection &) {});
            effect.endpoint = closedServer.endpoint();
            setup.forwarder.run(effect);
        }
    };
    RawConnection caller(setup.loop, setup.callerEndpoint);
    caller.send(getRequest);
    REQUIRE(setup.await<AttemptFinished>());
    REQUIRE(setup.result<AttemptNotRun>());
    CHECK(setup.result<AttemptNotRun>()->reason == NotRunReason::NotConnected);
}

TEST_CASE("When all pooled connections are unresponsive, only the first request fails")
{
    constexpr std::size_t pooled = 3;
    ForwarderSetup setup;
    setup.sendToTarget();
    std::vector<RawConnection *> waiting;
    std::vector<RawConnection *> unresponsive;
    setup.onTargetRequest = [&](RawConnection &connection) { waiting.push_back(&connection); };
    std::vector<std::unique_ptr<RawConnection>> callers;
    for (std::size_t i = 0; i < pooled; ++i) {
        callers.push_back(std::make_unique<RawConnection>(setup.loop, setup.callerEndpoint));
        callers.back()->send(getRequest);
    }
    REQUIRE(runUntil(setup.loop, [&] { return waiting.size() == pooled; }));
    const auto answer = [](RawConnection &connection) { connection.send(okHead + "Content-Length: 4\r\n\r\nteak"); };
    std::ranges::for_each(waiting, [&](RawConnection *connection) { answer(*connection); });
    REQUIRE(setup.await<AttemptFinished>(pooled));
    unresponsive = waiting;
    setup.onTargetRequest = [&](RawConnection &connection) {
        if (std::ranges::find(unresponsive, &connection) == unresponsive.end()) {
            answer(connection);
        }
    };

    setup.timeout = std::chrono::milliseconds(50);
    callers[0]->send(getRequest);
    REQUIRE(setup.await<AttemptFinished>(pooled + 1));
    CHECK(std::holds_alternative<AttemptUnknown>(setup.all<AttemptFinished>().back().result));
    setup.timeout = std::chrono::seconds(30);
    callers[1]->send(getRequest);
    REQUIRE(setup.await<AttemptFinished>(pooled + 2));
    CHECK(std::holds_alternative<AttemptAnswered>(setup.all<AttemptFinished>().back().result));
    CHECK(setup.target.connections().size() == pooled + 1);
}

TEST_CASE("The deadline ends an answer in progress unless the request method is safe")
{
    ForwarderSetup setup;
    setup.sendToTarget();
    setup.timeout = std::chrono::milliseconds(60);
    bool sent = false;
    setup.onTargetRequest = [&](RawConnection &connection) {
        connection.send(okHead + "Content-Length: 8\r\n\r\nwood");
        setup.loop.callLater(std::chrono::milliseconds(200), [&] {
            connection.send("glue");
            sent = true;
        });
    };
    RawConnection caller(setup.loop, setup.callerEndpoint);
    SECTION("safe method")
    {
        caller.send(getRequest);
        REQUIRE(setup.await<AttemptFinished>());
        CHECK(setup.result<AttemptAnswered>());
        CHECK(runUntil(setup.loop, [&] { return caller.received().ends_with("woodglue"); }));
    }
    SECTION("unsafe method")
    {
        caller.send("POST /a HTTP/1.1\r\nHost: d\r\nContent-Length: 0\r\n\r\n");
        REQUIRE(setup.await<AttemptFinished>());
        REQUIRE(setup.result<AttemptUnknown>());
        CHECK(setup.result<AttemptUnknown>()->reason == AttemptUnknown::Reason::DeadlineExpired);
        CHECK(setup.result<AttemptUnknown>()->answerBegun);
        CHECK(runUntil(setup.loop, [&] { return caller.wasReset(); }));
    }
    REQUIRE(runUntil(setup.loop, [&] { return sent; }));
}

TEST_CASE("Shutting down the server waits for a download in progress")
{
    ForwarderSetup setup;
    setup.sendToTarget();
    setup.onTargetRequest = [](RawConnection &connection) { connection.send(okHead + "Content-Length: 8\r\n\r\nwood"); };
    RawConnection caller(setup.loop, setup.callerEndpoint);
    caller.send(getRequest);
    REQUIRE(runUntil(setup.loop, [&] { return caller.received().ends_with("wood"); }));
    bool closed = false;
    setup.callers.shutDown([&] { closed = true; });
    RawConnection late(setup.loop, setup.callerEndpoint);
    REQUIRE(runUntil(setup.loop, [&] { return late.isEnded(); }));
    CHECK_FALSE(closed);
    setup.target.connections()[0]->send("glue");
    CHECK(runUntil(setup.loop, [&] { return closed; }));
    CHECK(caller.received().ends_with("woodglue"));
    CHECK_FALSE(caller.wasReset());
}

TEST_CASE("What the target says about itself is reported with each of its answers and not passed on in nutmeghinge's own headers")
{
    ForwarderSetup setup;
    setup.sendToTarget();
    setup.onTargetRequest = [](RawConnection &connection) {
        connection.send(okHead + "nutmeghinge-target-limit: 3.8\r\nnutmeghinge-target-leaving: 1\r\nContent-Length: 4\r\n\r\nteak");
    };
    RawConnection caller(setup.loop, setup.callerEndpoint);
    caller.send(getRequest);
    REQUIRE(runUntil(setup.loop, [&] { return caller.received().ends_with("teak"); }));
    const std::vector<TargetStated> stated = setup.all<TargetStated>();
    REQUIRE(stated.size() == 1);
    CHECK(stated.front().statement.limit == RequestRate(3.8));
    CHECK(stated.front().statement.leaving);
    CHECK(stated.front().source == TargetStated::Source::Answer);
    CHECK_FALSE(contains(caller.received(), "nutmeghinge-target"));
}

TEST_CASE("A peer is told with the answer what the target said about itself, and repeats it with the requests that it forwards")
{
    ForwarderSetup setup;
    const std::string statement = "nutmeghinge-target: i-7\r\nnutmeghinge-target-incarnation: 12\r\nnutmeghinge-target-limit: 3.800000\r\n"
                                  "nutmeghinge-target-leaving: 1\r\nnutmeghinge-target-leaving-for-ms: 1500\r\n";
    const RelayedStatement expected{{TargetName("i-7"), 12}, {RequestRate(3.8), true, {}}, std::chrono::milliseconds(1500)};
    SECTION("a peer's answer reports it, and a caller does not see it")
    {
        setup.sendToPeer();
        setup.onTargetRequest = [&](RawConnection &connection) { connection.send(okHead + statement + "Content-Length: 4\r\n\r\nteak"); };
        RawConnection caller(setup.loop, setup.callerEndpoint);
        caller.send(getRequest);
        REQUIRE(runUntil(setup.loop, [&] { return caller.received().ends_with("teak"); }));
        CHECK(setup.all<AttemptAnswering>().at(0).relayed == expected);
        CHECK_FALSE(contains(caller.received(), "nutmeghinge-target"));
    }
    SECTION("a peer's request reports it, and a caller's does not")
    {
        RawConnection peer(setup.loop, setup.peerEndpoint);
        peer.send("GET /a HTTP/1.1\r\nHost: d\r\n" + statement + "\r\n");
        RawConnection caller(setup.loop, setup.callerEndpoint);
        caller.send("GET /a HTTP/1.1\r\nHost: d\r\n" + statement + "\r\n");
        REQUIRE(setup.await<RequestArrived>(2));
        std::size_t relayed = 0;
        for (const RequestArrived &arrived : setup.all<RequestArrived>()) {
            relayed += arrived.relayed == expected ? 1 : 0;
            CHECK((arrived.relayed == expected || !arrived.relayed));
        }
        CHECK(relayed == 1);
    }
    SECTION("the target's answer to a peer's request carries it")
    {
        setup.sendToTarget();
        setup.onTargetRequest = [](RawConnection &connection) { connection.send(okHead + "nutmeghinge-target-limit: 3.8\r\nContent-Length: 4\r\n\r\nteak"); };
        RawConnection peer(setup.loop, setup.peerEndpoint);
        peer.send(getRequest);
        REQUIRE(runUntil(setup.loop, [&] { return peer.received().ends_with("teak"); }));
        CHECK(contains(peer.received(), "nutmeghinge-target-limit: 3.800000\r\n"));
        CHECK(contains(peer.received(), "nutmeghinge-target-incarnation: "));
    }
}

TEST_CASE("A refusal of the target whose body never ends does not keep its connection")
{
    ForwarderSetup setup;
    setup.sendToTarget();
    setup.onTargetRequest = [](RawConnection &connection) { connection.send("HTTP/1.1 503 Busy\r\nnutmeghinge-outcome: not-run\r\n\r\n"); };
    std::size_t sent = 0;
    setup.loop.callEvery(std::chrono::milliseconds(10), [&] {
        if (!setup.target.connections().empty() && !setup.target.connections()[0]->isEnded()) {
            setup.target.connections()[0]->send(std::string(20000, 'a'));
            sent += 20000;
        }
    });
    RawConnection caller(setup.loop, setup.callerEndpoint);
    caller.send(getRequest);
    REQUIRE(setup.await<AttemptFinished>());
    CHECK(setup.result<AttemptNotRun>());
    CHECK(runUntil(setup.loop, [&] { return setup.target.connections()[0]->isEnded() || sent > 2000000; }));
    CHECK(sent <= 1000000);
}

// Guards against an answer whose status no client understands (MIXED).
TEST_CASE("An answer with status 000 is not passed on, and its connection is not used again")
{
    const bool fromPeer = GENERATE(false, true);
    const std::string method = GENERATE("GET", "POST");
    ForwarderSetup setup;
    if (fromPeer) {
        setup.sendToPeer();
    } else {
        setup.sendToTarget();
    }
    setup.onTargetRequest = [](RawConnection &connection) { connection.send(okHead + "Content-Length: 4\r\n\r\nteak"); };
    RawConnection caller(setup.loop, setup.callerEndpoint);
    caller.send(getRequest);
    REQUIRE(runUntil(setup.loop, [&] { return caller.received().ends_with("teak"); }));
    REQUIRE(setup.await<AttemptFinished>());

    setup.onTargetRequest = [](RawConnection &connection) { connection.send("HTTP/1.1 000 None\r\nContent-Length: 3\r\n\r\noak"); };
    setup.events.clear();
    caller.received().clear();
    caller.send(method + " /a HTTP/1.1\r\nHost: d\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(setup.await<AttemptFinished>());
    REQUIRE(setup.target.connections().size() == 1);
    REQUIRE(setup.result<AttemptUnknown>());
    CHECK(setup.result<AttemptUnknown>()->reason == AttemptUnknown::Reason::WrongAnswer);
    CHECK_FALSE(setup.result<AttemptUnknown>()->answerBegun);
    CHECK(runUntil(setup.loop, [&] { return setup.target.connections()[0]->isEnded(); }));
    CHECK(caller.received().empty());
}

// Guards against a read that is not sent to a faster replica because the target's answer that its time is over went to the caller.
TEST_CASE("A target's answer that its time is over goes to the caller only if it comes before the end of that time")
{
    for (const bool atEnd : {true, false}) {
        ForwarderSetup setup;
        setup.onEvent = [&](const EventBody &event) {
            if (const auto *arrived = std::get_if<RequestArrived>(&event)) {
                SendToTarget effect = setup.toTarget(arrived->request, arrived->request.value());
                effect.workEnd = setup.loop.now() + (atEnd ? Duration(0) : std::chrono::seconds(20));
                effect.retriesExpiredWork = true;
                setup.forwarder.run(effect);
            }
        };
        setup.onTargetRequest = [&](RawConnection &connection) { connection.send("HTTP/1.1 504 Late\r\nContent-Length: 4\r\n\r\nlate"); };
        RawConnection caller(setup.loop, setup.callerEndpoint);
        caller.send(getRequest);
        REQUIRE(setup.await<AttemptFinished>());
        if (atEnd) {
            REQUIRE(setup.result<AttemptUnknown>());
            CHECK(setup.result<AttemptUnknown>()->reason == AttemptUnknown::Reason::WorkTimeExpired);
            CHECK(setup.result<AttemptUnknown>()->status == 504);
            CHECK(setup.forwarder.openRequests() == 1);
        } else {
            REQUIRE(setup.result<AttemptAnswered>());
            CHECK(runUntil(setup.loop, [&] { return caller.received().ends_with("late"); }));
        }
    }
}

TEST_CASE("A node learns from the node that it forwarded a request to that the target's time was over")
{
    ForwarderSetup setup;
    setup.sendToPeer();
    setup.onTargetRequest = [&](RawConnection &connection) {
        connection.send("HTTP/1.1 504 Late\r\nnutmeghinge-outcome: unknown\r\nnutmeghinge-work-time-expired: 1\r\nContent-Length: 0\r\n\r\n");
    };
    RawConnection caller(setup.loop, setup.callerEndpoint);
    caller.send(getRequest);
    REQUIRE(setup.await<AttemptFinished>());
    REQUIRE(setup.result<AttemptUnknown>());
    CHECK(setup.result<AttemptUnknown>()->reason == AttemptUnknown::Reason::WorkTimeExpired);

    setup.onEvent = nullptr;
    RawConnection peer(setup.loop, setup.peerEndpoint);
    peer.send("GET /a HTTP/1.1\r\nHost: d\r\nnutmeghinge-hops: 1\r\nnutmeghinge-request-id: a-1\r\n\r\n");
    REQUIRE(setup.await<RequestArrived>(2));
    RefuseRequest refusal;
    refusal.request = setup.all<RequestArrived>().at(1).request;
    refusal.status = 504;
    refusal.outcome = Outcome::Unknown;
    refusal.workTimeExpired = true;
    setup.forwarder.run(refusal);
    REQUIRE(runUntil(setup.loop, [&] { return contains(peer.received(), "\r\n\r\n"); }));
    CHECK(valueOf(peer.received(), "nutmeghinge-work-time-expired") == "1");
}
