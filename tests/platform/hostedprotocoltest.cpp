#include "hostedrequestprotocol.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace nutmeghinge::hosted;
using namespace std::chrono_literals;

namespace {

const HostedRequestProtocol protocol{ServiceName("roster")};

std::optional<std::string> valueIn(const HttpHeaders &headers, std::string_view name)
{
    const auto value = findHeader(headers, name);
    return value ? std::optional(std::string(*value)) : std::nullopt;
}

TargetCall call()
{
    TargetCall result;
    result.attemptId = "a-1";
    result.timeLeft = 1234ms;
    result.target = TargetName("i-7");
    return result;
}

} // namespace

TEST_CASE("The caller's service is the node's own, whatever the caller states")
{
    HttpHeaders headers{{"nutmeghinge-caller-service", "forged"}, {"nutmeghinge-target-instance", "i-9"}, {"x-other", "kept"}};
    protocol.setCallerHeaders(headers);
    CHECK(headers == HttpHeaders{{"x-other", "kept"}, {"nutmeghinge-caller-service", "roster"}});
}

TEST_CASE("Headers between nodes are not taken from callers, those of callers and targets are passed on")
{
    CHECK(protocol.isReserved("nutmeghinge-hops"));
    CHECK(protocol.isReserved("nutmeghinge-service"));
    CHECK_FALSE(protocol.isReserved("nutmeghinge-attempt-id"));
    CHECK_FALSE(protocol.isReserved("nutmeghinge-response-stamp"));
}

TEST_CASE("A target is told its name and the time that is left, once")
{
    const HttpHeaders passed{{"nutmeghinge-attempt-id", "9c41"}, {"nutmeghinge-deadline-remaining", "5000"}};
    const HttpHeaders sent = protocol.targetHeaders(passed, call());
    CHECK(std::count_if(sent.begin(), sent.end(), [](const auto &header) { return header.first == "nutmeghinge-deadline-remaining"; }) == 1);
    CHECK(valueIn(sent, "nutmeghinge-deadline-remaining") == "1234");
    CHECK(valueIn(sent, "nutmeghinge-target-instance") == "i-7");
    CHECK(valueIn(sent, "nutmeghinge-attempt-id") == "9c41");
}

TEST_CASE("The time that a caller allows is read; other text allows nothing")
{
    CHECK(protocol.timeout({{"nutmeghinge-deadline-remaining", "1500"}}) == Duration(1500ms));
    CHECK_FALSE(protocol.timeout({{"nutmeghinge-deadline-remaining", "soon"}}));
    CHECK_FALSE(protocol.timeout({}));
}

TEST_CASE("An answer that repeats another id belongs to another request")
{
    const HttpHeaders passed{{"nutmeghinge-attempt-id", "9c41"}};
    CHECK(protocol.answersCall({200, {{"nutmeghinge-attempt-id", "9c41"}}, {}}, passed, call()));
    CHECK(protocol.answersCall({200, {}, {}}, passed, call()));
    CHECK_FALSE(protocol.answersCall({200, {{"nutmeghinge-attempt-id", "0000"}}, {}}, passed, call()));
}

TEST_CASE("Only a target that says so has not run a request")
{
    const auto notRun = [](std::uint16_t status, HttpHeaders headers) {
        const auto refusal = protocol.refusalOf({status, std::move(headers), {}});
        const auto *result = refusal ? std::get_if<AttemptNotRun>(&*refusal) : nullptr;
        return result ? std::optional(result->reason) : std::nullopt;
    };
    const HttpHeaders marked{{"nutmeghinge-not-executed", "1"}};
    CHECK(notRun(503, marked) == NotRunReason::Overloaded);
    CHECK(notRun(429, marked) == NotRunReason::Overloaded);
    CHECK(notRun(400, marked) == NotRunReason::BadRequest);
    CHECK(notRun(421, {}) == NotRunReason::NotOwner);
    CHECK_FALSE(notRun(503, {}));
    CHECK_FALSE(notRun(500, {}));
    CHECK_FALSE(protocol.refusalOf({200, {}, {}}));
    CHECK_FALSE(protocol.refusalOf({504, {}, {}}));
}

TEST_CASE("A status that would promise what the target does not say is not passed on")
{
    for (const std::uint16_t status : {503, 429, 408}) {
        const auto refusal = protocol.refusalOf({status, {}, {}});
        REQUIRE(refusal);
        CHECK(std::get<AttemptUnknown>(*refusal).status == 502);
    }
}

TEST_CASE("A refusal tells in fractions of seconds when to come again")
{
    RefuseRequest refusal;
    refusal.retryAfter = 250ms;
    CHECK(valueIn(protocol.refusalHeaders(refusal), "retry-after") == "0.250");
    refusal.retryAfter = Duration(0);
    CHECK_FALSE(valueIn(protocol.refusalHeaders(refusal), "retry-after"));
}
