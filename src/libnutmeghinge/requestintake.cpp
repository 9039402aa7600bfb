#include "requestintake.h"

#include "document.h"
#include "ownershipview.h"
#include "pseudorandom.h"
#include "requestmethod.h"
#include "routetable.h"
#include "shardof.h"
#include "workclass.h"

#include <algorithm>
#include <charconv>

namespace nutmeghinge {

namespace {

constexpr Duration retryAfterWithoutDocument = std::chrono::seconds(1);
constexpr std::string_view idempotencyHeader = "idempotency-key";

const std::string *findHeader(const RequestArrived &arrived, std::string_view name)
{
    const auto &headers = arrived.headers;
    const auto header = std::find_if(headers.begin(), headers.end(), [&](const auto &entry) { return entry.first == name; });
    return header == headers.end() || header->second.empty() ? nullptr : &header->second;
}

bool isOwnHost(const Document &document, const std::string &host)
{
    return host == document.service.value() || std::find(document.hosts.begin(), document.hosts.end(), host) != document.hosts.end();
}

RequestSource sourceOf(const RequestArrived &arrived, const std::string &key)
{
    return {arrived.method, arrived.host, arrived.path, key, arrived.caller, arrived.body};
}

/**
 * Returns the earlier one of the two statements of the time. A request may be on its way for long before a full link, and the stated
 * duration does not count that; clocks that differ let the node end its work sooner than it had to, never later.
 */
MonotonicTime entryEnd(const RequestArrived &arrived, MonotonicTime arrivedAt, const Event &event)
{
    const MonotonicTime byDuration = arrived.entryEndsIn ? arrivedAt + *arrived.entryEndsIn : MonotonicTime::max();
    return arrived.entryEndsAt ? std::min(byDuration, event.at + (*arrived.entryEndsAt - event.wallTime)) : byDuration;
}

Request makeRequest(const RequestArrived &arrived, const Document &document, const Event &event)
{
    Request request;
    request.id = arrived.request;
    request.arrivedAt = event.at - arrived.waited;
    request.waited = arrived.waited + arrived.waitedBefore;
    request.deadline = event.at + std::min(arrived.timeout.value_or(document.deadline), document.deadline);
    request.hops = arrived.hops;
    request.entry = arrived.entry;
    request.entryEndsAt = entryEnd(arrived, request.arrivedAt, event);
    request.safe = isSafeMethod(arrived.method);
    request.idempotent = isIdempotentMethod(arrived.method);
    request.source = sourceOf(arrived, {});
    return request;
}

void readIdempotencyKey(Request &request, const RequestArrived &arrived, const std::string *key)
{
    const std::string *idempotencyKey = findHeader(arrived, idempotencyHeader);
    if (request.idempotent || !idempotencyKey) {
        return;
    }
    request.deduplicationKey = (key ? *key : std::string()) + '\n' + *idempotencyKey;
    request.fingerprint = hashOfKey(arrived.method + '\n' + arrived.path + '\n' + std::to_string(arrived.bodySize));
}

} // namespace

namespace {

/** Chooses one of the route's services at random, by their weights. */
const ServiceName &chooseService(const RequestRoute &route, PseudoRandom &random)
{
    std::uint64_t total = 0;
    for (const WeightedService &part : route.services) {
        total += part.weight;
    }
    std::uint64_t chosen = total == 0 ? 0 : random.below(total);
    for (const WeightedService &part : route.services) {
        if (chosen < part.weight) {
            return part.service;
        }
        chosen -= part.weight;
    }
    return route.services.front().service;
}

/** Sets what identifies a caller that repeats the request after a refusal. */
void readCallerIdentity(Request &request, const RequestArrived &arrived, const Document &document, MonotonicTime now)
{
    if (arrived.timeout) {
        request.callerWaitsUntil = now + *arrived.timeout;
    }
    const std::string *key = document.isSharded() ? findHeader(arrived, document.keyHeader) : nullptr;
    request.fingerprint =
        hashOfKey(arrived.host + '\n' + arrived.method + '\n' + arrived.path + '\n' + std::to_string(arrived.bodySize) + '\n' + (key ? *key : std::string()));
}

/** Reads the key of a request whose service has a numeric key space. A request without a key gets a random one, since any owner may run it. */
std::optional<Refusal> readNumericKey(Request &request, const RequestArrived &arrived, const Document &document, PseudoRandom &random)
{
    request.sharded = true;
    const std::string *text = findHeader(arrived, document.keyHeader);
    if (!text) {
        request.key = static_cast<std::uint32_t>(random.below(numericKeys));
        return std::nullopt;
    }
    const char *end = text->data() + text->size();
    const auto [parsed, error] = std::from_chars(text->data(), end, request.key);
    if (error != std::errc() || parsed != end || request.key >= numericKeys) {
        return Refusal{400, NotRunReason::BadRequest, {}, "the key is not a number from 0 to 65535"};
    }
    return std::nullopt;
}

std::variant<Request, Refusal>
parseRoutedRequest(const RequestArrived &arrived, const RouteTable &routes, const OwnershipView &ownership, const Event &event, PseudoRandom &random)
{
    Request request;
    request.id = arrived.request;
    request.callerId = arrived.callerId;
    const MonotonicTime arrivedAt = event.at - arrived.waited;
    request.arrivedAt = arrivedAt;
    request.waited = arrived.waited + arrived.waitedBefore;
    request.hops = arrived.hops;
    request.entry = arrived.entry;
    request.entryEndsAt = entryEnd(arrived, arrivedAt, event);
    request.routed = true;
    request.source = sourceOf(arrived, {});
    RoutedRequest routed;
    Duration timeout{0};
    if (arrived.routed) {
        routed = *arrived.routed;
    } else {
        const RequestRoute *route = routes.find(arrived.host, arrived.path);
        if (!route) {
            return Refusal{404, NotRunReason::BadRequest, {}, "no route for this host and path"};
        }
        routed = {chooseService(*route, random), route->repeatable, route->priority, route->objective, workClassOf(*route)};
        timeout = route->timeout;
        request.maximumAttempts = route->maximumAttempts;
        request.largeAnswer = route->largeAnswers;
    }
    const Document *document = ownership.documentOf(routed.service);
    if (!document) {
        return Refusal{503, NotRunReason::NotOwner, retryAfterWithoutDocument, "no document of the route's service is in force yet"};
    }
    const Duration longest = timeout == Duration::zero() ? document->deadline : timeout;
    request.deadline = event.at + std::min(arrived.timeout.value_or(longest), arrived.routed ? arrived.timeout.value_or(longest) : longest);
    request.service = routed.service;
    request.safe = routed.repeatable;
    request.idempotent = routed.repeatable;
    request.priority = routed.priority;
    request.workClass = routed.workClass;
    request.objective = routed.objective;
    request.objectiveAt = routed.objective == Duration::zero() ? MonotonicTime::max() : arrivedAt + routed.objective;
    if (!arrived.routed) {
        readCallerIdentity(request, arrived, *document, arrivedAt);
    }
    if (document->isSharded()) {
        if (std::optional<Refusal> refusal = readNumericKey(request, arrived, *document, random)) {
            return *std::move(refusal);
        }
    }
    return request;
}

} // namespace

std::variant<Request, Refusal> parseRequest(const RequestArrived &arrived, const OwnershipView &ownership, const Event &event, PseudoRandom &random)
{
    const Document *document = ownership.document();
    if (!document) {
        return Refusal{503, NotRunReason::NotOwner, retryAfterWithoutDocument, "no document is in force yet"};
    }
    if (const RouteTable *routes = ownership.routes()) {
        return parseRoutedRequest(arrived, *routes, ownership, event, random);
    }
    Request request = makeRequest(arrived, *document, event);
    request.service = document->service;
    if (!isOwnHost(*document, arrived.host)) {
        if (!ownership.otherCell(arrived.host)) {
            return Refusal{404, NotRunReason::BadRequest, {}, "no service has this host"};
        }
        request.otherHost = arrived.host;
        request.service = ServiceName();
        return request;
    }
    if (document->isStopped(event.wallTime)) {
        return Refusal{410, NotRunReason::Stopping, {}, "the service was stopped by its document"};
    }
    if (arrived.bodySize > document->requestBodyLimit) {
        return Refusal{413, NotRunReason::BadRequest, {}, "the request body is larger than the service's limit"};
    }
    const std::string *key = nullptr;
    if (document->isSharded()) {
        key = findHeader(arrived, document->keyHeader);
        if (!key) {
            return Refusal{400, NotRunReason::BadRequest, {}, "the request lacks the key header " + document->keyHeader};
        }
        request.sharded = true;
        request.keyHash = hashOfKey(*key);
        request.source = sourceOf(arrived, *key);
    }
    readIdempotencyKey(request, arrived, key);
    return request;
}

} // namespace nutmeghinge
