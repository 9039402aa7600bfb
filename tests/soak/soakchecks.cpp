#include "soakchecks.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace {

using Breaches = std::vector<std::string>;

std::map<std::string, int> runsOfOrders(const SoakObservations &observations)
{
    std::map<std::string, int> runs;
    for (const SoakExecution &execution : observations.executions) {
        if (!execution.order.empty()) {
            ++runs[execution.order];
        }
    }
    return runs;
}

void checkOrders(const SoakObservations &observations, Breaches &breaches)
{
    const std::map<std::string, int> runs = runsOfOrders(observations);
    for (const auto &[order, count] : runs) {
        if (count > 1) {
            breaches.push_back("order " + order + " ran " + std::to_string(count) + " times");
        }
    }
    for (const SoakRequest &request : observations.requests) {
        const bool ran = !request.order.empty() && runs.contains(request.order);
        if (request.saidNotRun && ran) {
            breaches.push_back("order " + request.order + " ran, and its caller was told that it had not");
        }
        if (request.status == 200 && !request.order.empty() && !ran) {
            breaches.push_back("order " + request.order + " was answered with 200 and never ran");
        }
    }
}

void checkAnswers(const SoakObservations &observations, Breaches &breaches)
{
    for (const SoakRequest &request : observations.requests) {
        if (request.status == 200 && !request.cut && !request.answeredRight) {
            breaches.push_back("a request on key " + request.key + " got an answer that is not its own");
        }
    }
}

/** No key is run under a fence once it was run under a higher one. */
void checkFences(const SoakObservations &observations, Breaches &breaches)
{
    std::vector<SoakExecution> executions = observations.executions;
    std::sort(executions.begin(), executions.end(), [](const SoakExecution &left, const SoakExecution &right) { return left.at < right.at; });
    std::map<std::string, const SoakExecution *> newest;
    for (const SoakExecution &execution : executions) {
        const SoakExecution *&last = newest[execution.key];
        const auto fenceOf = [](const SoakExecution &of) { return std::tie(of.term, of.sequence); };
        if (last && fenceOf(execution) < fenceOf(*last)) {
            breaches.push_back("key " + execution.key + " ran at " + execution.target + " under an older fence than before at " + last->target);
        } else if (last && fenceOf(execution) == fenceOf(*last) && execution.target != last->target) {
            breaches.push_back("key " + execution.key + " has two owners with one fence: " + last->target + " and " + execution.target);
        }
        last = last && fenceOf(execution) < fenceOf(*last) ? last : &execution;
    }
}

void checkPlannedStops(const SoakObservations &observations, Breaches &breaches)
{
    const std::map<std::string, int> runs = runsOfOrders(observations);
    for (const SoakRequest &request : observations.requests) {
        const auto &planned = observations.plannedOnly;
        // A node may close a connection on which nothing runs just as its caller sends the next request there.
        const bool taken = request.begun || (!request.order.empty() && runs.contains(request.order));
        if (request.cut && taken && std::find(planned.begin(), planned.end(), request.seat) != planned.end()) {
            breaches.push_back("a request on key " + request.key + " was cut off by a node that was only stopped as planned");
        }
    }
}

void checkDocuments(const SoakObservations &observations, Breaches &breaches)
{
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> newest;
    for (const SoakDocument &document : observations.documents) {
        std::uint64_t &last = newest[{document.node, document.incarnation}];
        if (document.revision < last) {
            breaches.push_back(document.node + " went back from document " + std::to_string(last) + " to " + std::to_string(document.revision));
        }
        last = std::max(last, document.revision);
    }
    for (const std::uint64_t revision : observations.documentsAtEnd) {
        if (revision != observations.lastDocument) {
            breaches.push_back("document " + std::to_string(revision) + " is in force at the end, not " + std::to_string(observations.lastDocument));
        }
    }
}

void checkRecovery(const SoakObservations &observations, Breaches &breaches)
{
    for (const std::string &key : observations.unservedKeys) {
        breaches.push_back("key " + key + " is not served again after the last fault");
    }
}

} // namespace

std::vector<std::string> brokenPromises(const SoakObservations &observations)
{
    Breaches breaches = observations.failures;
    for (const auto check : {checkOrders, checkAnswers, checkFences, checkPlannedStops, checkDocuments, checkRecovery}) {
        check(observations, breaches);
    }
    return breaches;
}
