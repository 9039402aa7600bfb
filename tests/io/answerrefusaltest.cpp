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
