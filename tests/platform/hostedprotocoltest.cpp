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
    result.target = {TargetName("i-7"), 1};
    return result;
}

} // namespace

TEST_CASE("The node replaces a caller's service header by its own service and removes the target header")
{
    HttpHeaders headers{{"nutmeghinge-caller-service", "forged"}, {"nutmeghinge-target-instance", "i-9"}, {"x-other", "kept"}};
    protocol.setCallerHeaders(headers);
    CHECK(headers == HttpHeaders{{"x-other", "kept"}, {"nutmeghinge-caller-service", "roster"}});
}

TEST_CASE("Headers between nodes are reserved, but headers between callers and targets are not")
{
    CHECK(protocol.isReserved("nutmeghinge-hops"));
    CHECK(protocol.isReserved("nutmeghinge-service"));
    CHECK_FALSE(protocol.isReserved("nutmeghinge-attempt-id"));
    CHECK_FALSE(protocol.isReserved("nutmeghinge-response-stamp"));
}

TEST_CASE("A call to a target carries the target's name and exactly one header with the time left")
{
    const HttpHeaders passed{{"nutmeghinge-attempt-id", "9c41"}, {"nutmeghinge-deadline-remaining", "5000"}};
    const HttpHeaders sent = protocol.targetHeaders(passed, call());
    CHECK(std::count_if(sent.begin(), sent.end(), [](const auto &header) { return header.first == "nutmeghinge-deadline-remaining"; }) == 1);
    CHECK(valueIn(sent, "nutmeghinge-deadline-remaining") == "1234");
    CHECK(valueIn(sent, "nutmeghinge-target-instance") == "i-7");
    CHECK(valueIn(sent, "nutmeghinge-attempt-id") == "9c41");
}

TEST_CASE("The timeout is read from the caller's header, and a missing or invalid header gives no timeout")
{
    CHECK(protocol.timeout({{"nutmeghinge-deadline-remaining", "1500"}}) == Duration(1500ms));
    CHECK_FALSE(protocol.timeout({{"nutmeghinge-deadline-remaining", "soon"}}));
    CHECK_FALSE(protocol.timeout({}));
}

TEST_CASE("An answer with a different attempt id belongs to another request")
{
    const HttpHeaders passed{{"nutmeghinge-attempt-id", "9c41"}};
    CHECK(protocol.isAnswerToCall({200, {{"nutmeghinge-attempt-id", "9c41"}}, {}}, passed, call()));
    CHECK(protocol.isAnswerToCall({200, {}, {}}, passed, call()));
    CHECK_FALSE(protocol.isAnswerToCall({200, {{"nutmeghinge-attempt-id", "0000"}}, {}}, passed, call()));
}

TEST_CASE("A request counts as not run only if the target marks its answer so or answers 421")
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

TEST_CASE("A target's refusal says whether a slot was free, if it carries a valid load report")
{
    const auto hadFreeSlot = [](const std::string &load) {
        const auto refusal = protocol.refusalOf({503, {{"nutmeghinge-not-executed", "1"}, {"nutmeghinge-backend-load", load}}, {}});
        return std::get<AttemptNotRun>(refusal.value()).targetHadFreeSlot;
    };
    CHECK(hadFreeSlot("3,0,6"));
    CHECK_FALSE(hadFreeSlot("6,0,6"));
    CHECK_FALSE(hadFreeSlot("5,1,6"));
    for (const char *invalid : {"", "3", "3,0", "3,,6", "-1,0,6", "a,b,c", "3,0,6,9", "99999999999999999999999,0,6"}) {
        CHECK_FALSE(hadFreeSlot(invalid));
    }
}

TEST_CASE("A 503, 429 or 408 that the target does not mark as not run becomes an unknown outcome with status 502")
{
    for (const std::uint16_t status : {503, 429, 408}) {
        const auto refusal = protocol.refusalOf({status, {}, {}});
        REQUIRE(refusal);
        CHECK(std::get<AttemptUnknown>(*refusal).status == 502);
    }
}

TEST_CASE("A refusal states its retry delay in fractional seconds, and has no retry-after header without a delay")
{
    RefuseRequest refusal;
    refusal.retryAfter = 250ms;
    CHECK(valueIn(protocol.refusalHeaders(refusal), "retry-after") == "0.250");
    refusal.retryAfter = Duration(0);
    CHECK_FALSE(valueIn(protocol.refusalHeaders(refusal), "retry-after"));
}

TEST_CASE("The limit of a target and its departure are read from its answer, and reach the caller unchanged")
{
    const HttpAnswerHead head{.status = 200, .headers = {{"server-limit", "3.8"}, {"server-leaving", "1"}}, .contentLength = {}};
    const TargetStatement statement = protocol.statementOf(head);
    CHECK(statement.limit == RequestRate(3.8));
    CHECK(statement.leaving);
    CHECK_FALSE(protocol.isReserved("server-limit"));
    CHECK_FALSE(protocol.isReserved("server-leaving"));
}
