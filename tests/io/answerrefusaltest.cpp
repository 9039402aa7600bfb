#include "answerrefusal.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;

TEST_CASE("A refusal read from a peer's answer keeps the HTTP status")
{
    const HttpAnswerHead notRun{422, {{"nutmeghinge-outcome", "not-run"}, {"nutmeghinge-reason", "bad-request"}}, {}};
    const auto refusal = refusalOf(notRun, AttemptDestination::Peer);
    REQUIRE(refusal);
    CHECK(std::get<AttemptNotRun>(*refusal).status == 422);

    const HttpAnswerHead unknown{409, {{"nutmeghinge-outcome", "unknown"}}, {}};
    const auto unknownRefusal = refusalOf(unknown, AttemptDestination::Peer);
    REQUIRE(unknownRefusal);
    CHECK(std::get<AttemptUnknown>(*unknownRefusal).status == 409);
}

TEST_CASE("A peer's answer tells why it does not know the outcome, in a target's answer that says nothing")
{
    for (std::size_t i = 0; i < unknownCauses; ++i) {
        const auto cause = static_cast<UnknownCause>(i);
        CHECK(unknownCauseOf(nameOf(cause)) == cause);
        const HttpAnswerHead head{502, {{"nutmeghinge-outcome", "unknown"}, {"nutmeghinge-unknown-cause", std::string(nameOf(cause))}}, {}};
        CHECK(std::get<AttemptUnknown>(*refusalOf(head, AttemptDestination::Peer)).peerCause == cause);
        CHECK_FALSE(std::get<AttemptUnknown>(*refusalOf(head, AttemptDestination::Target)).peerCause);
    }
    CHECK_FALSE(unknownCauseOf("another"));
}
