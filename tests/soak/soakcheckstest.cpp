#include "soakchecks.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;

namespace {

const SoakTime start{100s};

SoakRequest order(const std::string &name, int status)
{
    SoakRequest request;
    request.order = name;
    request.key = "teak";
    request.status = status;
    request.gotOwnAnswer = status == 200;
    request.reportedNotRun = status == 503;
    return request;
}

SoakExecution execution(const std::string &target, std::chrono::milliseconds at, std::uint64_t sequence, const std::string &name = {})
{
    return {target, start + at, "teak", 1, sequence, name};
}

/** Observations of a run without violations; each test adds one violation. */
SoakObservations cleanRun()
{
    SoakObservations clean;
    clean.requests = {order("o-1", 200), order("o-2", 503)};
    clean.executions = {execution("a", 1ms, 1, "o-1"), execution("a", 2ms, 1), execution("b", 3ms, 2)};
    clean.documents = {{"node-a", 1, 1}, {"node-a", 1, 2}, {"node-a", 2, 1}};
    clean.lastDocument = 2;
    clean.documentsAtEnd = {2, 2};
    return clean;
}

bool reportsOnly(const SoakObservations &observations, const std::string &text)
{
    const std::vector<std::string> violations = findViolations(observations);
    return violations.size() == 1 && violations.front().find(text) != std::string::npos;
}

} // namespace

TEST_CASE("The soak checks report no violation for a correct run")
{
    CHECK(findViolations(cleanRun()).empty());
}

TEST_CASE("The soak checks report an order that ran twice")
{
    SoakObservations duplicate = cleanRun();
    duplicate.executions.push_back(execution("b", 4ms, 2, "o-1"));
    CHECK(reportsOnly(duplicate, "ran 2 times"));
}

TEST_CASE("The soak checks report an order that ran despite a not-run answer, and one that was answered 200 but never ran")
{
    SoakObservations refused = cleanRun();
    refused.executions.push_back(execution("b", 4ms, 2, "o-2"));
    CHECK(reportsOnly(refused, "told that it had not"));
    SoakObservations answered = cleanRun();
    answered.requests.push_back(order("o-3", 200));
    CHECK(reportsOnly(answered, "never ran"));
}

TEST_CASE("The soak checks report a key that runs under an older fence, or at two targets under one fence")
{
    SoakObservations older = cleanRun();
    older.executions.push_back(execution("a", 4ms, 1));
    CHECK(reportsOnly(older, "older fence"));
    SoakObservations same = cleanRun();
    same.executions.push_back(execution("a", 4ms, 2));
    CHECK(reportsOnly(same, "two owners"));
}

TEST_CASE("The soak checks report a caller that got the answer to another request")
{
    SoakObservations crossed = cleanRun();
    crossed.requests.front().gotOwnAnswer = false;
    CHECK(reportsOnly(crossed, "not its own"));
}

TEST_CASE("The soak checks report a request cut off by a planned stop, but not one cut off by a crash")
{
    SoakObservations cut = cleanRun();
    cut.requests.push_back(order("", 0));
    cut.requests.back().cut = true;
    cut.requests.back().answerBegun = true;
    cut.requests.back().vmIndex = 3;
    CHECK(findViolations(cut).empty());
    cut.plannedStopsOnly = {1, 3};
    CHECK(reportsOnly(cut, "cut off"));
}

TEST_CASE("The soak checks report a node that reverts to an older document, or lacks the last one at the end")
{
    SoakObservations back = cleanRun();
    back.documents.push_back({"node-a", 1, 1});
    CHECK(reportsOnly(back, "went back"));
    SoakObservations missing = cleanRun();
    missing.documentsAtEnd = {2, 1};
    CHECK(reportsOnly(missing, "in force at the end"));
}

TEST_CASE("The soak checks report a node that did not use a new document in time")
{
    SoakObservations late = cleanRun();
    late.documentDelays = {{"node-a", 7000ms}, {"node-b", 3ms}};
    CHECK(findViolations(late).empty());
    late.documentDelays.push_back({"node-c", 7001ms});
    CHECK(reportsOnly(late, "did not use a document"));
}

TEST_CASE("The soak checks report a key that is not served after the last fault")
{
    SoakObservations lost = cleanRun();
    lost.unservedKeys = {"teak"};
    CHECK(reportsOnly(lost, "not served again"));
}

TEST_CASE("The soak checks report a target that ran more requests than its limit allows")
{
    SoakObservations limited = cleanRun();
    limited.statements.push_back({"c", start, start + 10s, 2});
    for (int request = 0; request < 20; ++request) {
        limited.executions.push_back(execution("c", 1000ms + request * 400ms, 3));
    }
    CHECK(findViolations(limited).empty());
    for (int request = 0; request < 20; ++request) {
        limited.executions.push_back(execution("c", 6000ms + request * 50ms, 3));
    }
    CHECK(reportsOnly(limited, "under a limit of 2"));
}

TEST_CASE("The soak checks report a target that ran a request two seconds after it had said that it leaves")
{
    SoakObservations departed = cleanRun();
    departed.statements.push_back({"c", start, start + 10s, 0});
    departed.executions.push_back(execution("c", 500ms, 3));
    departed.executions.push_back(execution("c", 2400ms, 3));
    CHECK(findViolations(departed).empty());
    departed.executions.push_back(execution("c", 2600ms, 3));
    CHECK(reportsOnly(departed, "had said that it leaves"));
}
