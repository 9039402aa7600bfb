#include "requestintake.h"

#include "document.h"
#include "ownershipview.h"
#include "requestmethod.h"
#include "shardof.h"

#include <algorithm>

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

Request makeRequest(const RequestArrived &arrived, const Document &document, MonotonicTime now)
{
    Request request;
    request.id = arrived.request;
    request.arrivedAt = now;
    request.deadline = now + std::min(arrived.timeout.value_or(document.deadline), document.deadline);
    request.hops = arrived.hops;
    request.safe = isSafeMethod(arrived.method);
    request.idempotent = isIdempotentMethod(arrived.method);
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

std::variant<Request, Refusal> takeInRequest(const RequestArrived &arrived, const OwnershipView &ownership, const Event &event)
{
    const Document *document = ownership.document();
    if (!document) {
        return Refusal{503, NotRunReason::NotOwner, retryAfterWithoutDocument, "no document in force yet"};
    }
    Request request = makeRequest(arrived, *document, event.at);
    if (!isOwnHost(*document, arrived.host)) {
        if (!ownership.otherCell(arrived.host)) {
            return Refusal{404, NotRunReason::BadRequest, {}, "no service has this host"};
        }
        request.otherHost = arrived.host;
        return request;
    }
    if (document->isStopped(event.wallTime)) {
        return Refusal{410, NotRunReason::Stopping, {}, "the service has been stopped by its document"};
    }
    if (arrived.bodySize > document->requestBodyLimit) {
        return Refusal{413, NotRunReason::BadRequest, {}, "request body over the service's limit"};
    }
    const std::string *key = nullptr;
    if (document->isDividedByKey()) {
        key = findHeader(arrived, document->keyHeader);
        if (!key) {
            return Refusal{400, NotRunReason::BadRequest, {}, "missing header " + document->keyHeader};
        }
        request.divided = true;
        request.keyHash = hashOfKey(*key);
    }
    readIdempotencyKey(request, arrived, key);
    return request;
}

} // namespace nutmeghinge
