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
    request.answeredRight = status == 200;
    request.saidNotRun = status == 503;
    return request;
}

SoakExecution run(const std::string &target, std::chrono::milliseconds at, std::uint64_t sequence, const std::string &name = {})
{
    return {target, start + at, "teak", 1, sequence, name};
}

/** A run in which all went well; each test breaks one promise of it. */
SoakObservations calmRun()
{
    SoakObservations calm;
    calm.requests = {order("o-1", 200), order("o-2", 503)};
    calm.executions = {run("a", 1ms, 1, "o-1"), run("a", 2ms, 1), run("b", 3ms, 2)};
    calm.documents = {{"node-a", 1, 1}, {"node-a", 1, 2}, {"node-a", 2, 1}};
    calm.lastDocument = 2;
    calm.documentsAtEnd = {2, 2};
    return calm;
}

bool tells(const SoakObservations &observations, const std::string &part)
{
    const std::vector<std::string> breaches = brokenPromises(observations);
    return breaches.size() == 1 && breaches.front().find(part) != std::string::npos;
}

} // namespace

TEST_CASE("A soak run in which all went well breaks no promise")
{
    CHECK(brokenPromises(calmRun()).empty());
}

TEST_CASE("A soak finds an order that ran again after an unknown outcome")
{
    SoakObservations run2 = calmRun();
    run2.executions.push_back(run("b", 4ms, 2, "o-1"));
    CHECK(tells(run2, "ran 2 times"));
}

TEST_CASE("A soak finds a false refusal and a false answer")
{
    SoakObservations refused = calmRun();
    refused.executions.push_back(run("b", 4ms, 2, "o-2"));
    CHECK(tells(refused, "told that it had not"));
    SoakObservations answered = calmRun();
    answered.requests.push_back(order("o-3", 200));
    CHECK(tells(answered, "never ran"));
}

TEST_CASE("A soak finds a second owner")
{
    SoakObservations older = calmRun();
    older.executions.push_back(run("a", 4ms, 1));
    CHECK(tells(older, "older fence"));
    SoakObservations same = calmRun();
    same.executions.push_back(run("a", 4ms, 2));
    CHECK(tells(same, "two owners"));
}

TEST_CASE("A soak finds another request's answer")
{
    SoakObservations crossed = calmRun();
    crossed.requests.front().answeredRight = false;
    CHECK(tells(crossed, "not its own"));
}

TEST_CASE("A soak finds a request cut off by a planned stop, and passes over one that met a crash")
{
    SoakObservations cut = calmRun();
    cut.requests.push_back(order("", 0));
    cut.requests.back().cut = true;
    cut.requests.back().begun = true;
    cut.requests.back().seat = 3;
    CHECK(brokenPromises(cut).empty());
    cut.plannedOnly = {1, 3};
    CHECK(tells(cut, "cut off"));
}

TEST_CASE("A soak finds a document that went back, or is not in force at the end")
{
    SoakObservations back = calmRun();
    back.documents.push_back({"node-a", 1, 1});
    CHECK(tells(back, "went back"));
    SoakObservations missing = calmRun();
    missing.documentsAtEnd = {2, 1};
    CHECK(tells(missing, "in force at the end"));
}

TEST_CASE("A soak finds a key that is not served again")
{
    SoakObservations lost = calmRun();
    lost.unservedKeys = {"teak"};
    CHECK(tells(lost, "not served again"));
}
