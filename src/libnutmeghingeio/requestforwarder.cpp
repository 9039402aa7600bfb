#include "requestforwarder.h"

#include "eventloop.h"
#include "forwardedattempt.h"
#include "forwardedrequest.h"
#include "httpclient.h"
#include "relayedstatementheaders.h"
#include "requestprotocol.h"
#include "wireheaders.h"

#include <algorithm>
#include <random>
#include <unordered_map>

namespace nutmeghinge {

namespace {

constexpr std::size_t bufferedAnswerLimitBytes = 65536;
/** Times are stated in whole milliseconds. */
constexpr Duration statedTimeUnit = std::chrono::milliseconds(1);
constexpr Duration safeProgressTimeout = std::chrono::seconds(5);

/** Returns a random prefix that makes attempt ids unique among the processes that share a target. */
std::string makeIdPrefix()
{
    std::random_device device;
    return std::to_string(device()) + '-';
}

/** Returns whether the server may be unresponsive, so that idle connections to it may be dead. */
bool suggestsUnresponsiveServer(HttpCallResult result)
{
    return result == HttpCallResult::NoProgress || result == HttpCallResult::DeadlineExpired;
}

} // namespace

struct RequestForwarder::Private {
    using Request = std::shared_ptr<ForwardedRequest>;

    /** Destination and limits of an attempt, for targets and peers alike. */
    struct Destination {
        AttemptDestination kind;
        Endpoint endpoint;
        MonotonicTime deadline;
        /** Time that the destination is told as its limit; not after the deadline. */
        MonotonicTime statedDeadline;
        /** See ForwardedAttempt::Options. */
        std::optional<MonotonicTime> expiredWorkFrom;
        bool freshConnection;
        bool keepAnswer;
        bool deadlineForHeadOnly;
        bool mayBeIdle;
    };

    Private(EventLoop &usedLoop, HttpClient &usedClient, const RequestProtocol &usedProtocol, EventFunction eventFunction)
        : loop(usedLoop)
        , client(usedClient)
        , protocol(usedProtocol)
        , events(std::move(eventFunction))
        , idPrefix(makeIdPrefix())
    {
    }

    Request find(RequestId id) const;
    void onCallerDisconnected(RequestId id);
    void start(RequestId id, AttemptId attempt, const Destination &destination, TargetCall call, HttpHeaders headers);
    HttpClientRequest makeRequest(const ForwardedRequest &request, const Destination &destination, HttpHeaders headers) const;
    void onAttemptEnded(AttemptId attempt, const Endpoint &endpoint, HttpCallResult result);
    void reportNotRunLater(AttemptId attempt);
    void eraseIfEnded(RequestId id);

    EventLoop &loop;
    HttpClient &client;
    const RequestProtocol &protocol;
    EventFunction events;
    std::string idPrefix;
    std::uint64_t lastRequest = 0;
    std::unordered_map<RequestId, Request> requests;
    std::unordered_map<AttemptId, std::pair<RequestId, std::shared_ptr<ForwardedAttempt>>> attempts;
    /** Functions that the loop calls later hold a weak reference, which expires with the forwarder. */
    std::shared_ptr<Private *> alive = std::make_shared<Private *>(this);
};

RequestForwarder::Private::Request RequestForwarder::Private::find(RequestId id) const
{
    const auto found = requests.find(id);
    return found == requests.end() ? nullptr : found->second;
}

void RequestForwarder::Private::onCallerDisconnected(RequestId id)
{
    const Request request = find(id);
    if (!request) {
        return;
    }
    request->onCallerDisconnected();
    requests.erase(id);
    for (auto &[attempt, running] : attempts) {
        if (running.first == id) {
            running.second->onCallerDisconnected();
        }
    }
    events(RequestCancelled{id});
}

/** Starts an attempt of the request. headers: additional headers of an attempt at a peer; empty for a target. */
void RequestForwarder::Private::start(RequestId id, AttemptId attempt, const Destination &destination, TargetCall call, HttpHeaders headers)
{
    const Request request = find(id);
    if (!request) {
        reportNotRunLater(attempt);
        return;
    }
    call.attemptId = idPrefix + std::to_string(attempt.value());
    call.timeLeft = std::max(Duration::zero(), destination.statedDeadline - loop.now());
    if (destination.kind == AttemptDestination::Target) {
        headers = protocol.targetHeaders(request->headers(), call);
    } else {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(call.timeLeft);
        headers.emplace_back(wire::requestId, call.attemptId);
        headers.emplace_back(wire::deadline, std::to_string(left.count()));
        std::ranges::copy(request->headers(), std::back_inserter(headers));
    }
    HttpClientRequest sending = makeRequest(*request, destination, std::move(headers));
    const auto sent = std::make_shared<ForwardedAttempt>(
        loop,
        client,
        request,
        ForwardedAttempt::Options{.id = attempt,
                                  .destination = destination.kind,
                                  .call = std::move(call),
                                  .expiredWorkFrom = destination.expiredWorkFrom,
                                  .keepAnswer = destination.keepAnswer,
                                  .bufferLimit = bufferedAnswerLimitBytes},
        [this, id](EventBody event) {
            eraseIfEnded(id);
            events(std::move(event));
        },
        [this, attempt, endpoint = destination.endpoint](HttpCallResult result) { onAttemptEnded(attempt, endpoint, result); });
    attempts.emplace(attempt, std::pair(id, sent));
    sent->send(std::move(sending));
}

HttpClientRequest RequestForwarder::Private::makeRequest(const ForwardedRequest &request, const Destination &destination, HttpHeaders headers) const
{
    const Duration timeLeft = std::max(Duration::zero(), destination.deadline - loop.now());
    headers.emplace_back("host", request.host());
    return {.to = destination.endpoint,
            .use = destination.kind == AttemptDestination::Target ? ConnectionUse::Target : ConnectionUse::Peers,
            .method = request.method(),
            .path = request.path(),
            .headers = std::move(headers),
            .body = request.body(),
            .answerId = destination.kind == AttemptDestination::Target ? request.protocol().callerId(request.headers()) : std::string(),
            .freshConnection = destination.freshConnection,
            .deadline = destination.deadline,
            .deadlineForHeadOnly = destination.deadlineForHeadOnly,
            // Unless the destination may be idle, the request is safe and can be retried, so it fails early when no byte arrives.
            .progressTimeout = destination.mayBeIdle ? std::max(safeProgressTimeout, timeLeft) : safeProgressTimeout};
}

void RequestForwarder::Private::onAttemptEnded(AttemptId attempt, const Endpoint &endpoint, HttpCallResult result)
{
    attempts.erase(attempt);
    if (suggestsUnresponsiveServer(result)) {
        client.closeIdleConnections(endpoint);
    }
}

void RequestForwarder::Private::reportNotRunLater(AttemptId attempt)
{
    loop.callLater(Duration::zero(), [weak = std::weak_ptr(alive), attempt] {
        if (const auto self = weak.lock()) {
            (*self)->events(AttemptFinished{.attempt = attempt, .result = AttemptNotRun()});
        }
    });
}

void RequestForwarder::Private::eraseIfEnded(RequestId id)
{
    const Request request = find(id);
    if (request && request->hasEnded()) {
        requests.erase(id);
    }
}

RequestForwarder::RequestForwarder(EventLoop &loop, HttpClient &client, const RequestProtocol &protocol, EventFunction events)
    : m_d(std::make_unique<Private>(loop, client, protocol, std::move(events)))
{
}

RequestForwarder::~RequestForwarder()
{
    const auto attempts = std::exchange(m_d->attempts, {});
    for (const auto &[id, attempt] : attempts) {
        attempt.second->abandon();
    }
    const auto requests = std::exchange(m_d->requests, {});
    for (const auto &[id, request] : requests) {
        request->reset();
    }
}

void RequestForwarder::accept(std::shared_ptr<HttpExchange> exchange, Source source)
{
    const RequestId id(++m_d->lastRequest);
    const auto request = std::make_shared<ForwardedRequest>(id, source, m_d->protocol, std::move(exchange));
    m_d->requests.emplace(id, request);
    request->setClosedFunction([this, id] { m_d->onCallerDisconnected(id); });
    m_d->events(request->arrival(m_d->loop.now(), m_d->loop.inputHandledUntil()));
}

void RequestForwarder::run(const SendToTarget &effect)
{
    std::optional<MonotonicTime> expiredWorkFrom;
    if (effect.retriesExpiredWork && effect.workEnd < effect.deadline) {
        expiredWorkFrom = effect.workEnd - statedTimeUnit;
    }
    const Private::Destination target{.kind = AttemptDestination::Target,
                                      .endpoint = effect.endpoint,
                                      .deadline = effect.deadline,
                                      .statedDeadline = std::min(effect.deadline, effect.workEnd),
                                      .expiredWorkFrom = expiredWorkFrom,
                                      .freshConnection = effect.freshConnection,
                                      .keepAnswer = effect.keepAnswer,
                                      .deadlineForHeadOnly = effect.deadlineForHeadOnly,
                                      .mayBeIdle = effect.mayBeIdle};
    TargetCall call;
    call.shard = effect.shard;
    call.fence = effect.fence;
    call.target = effect.target;
    m_d->start(effect.request, effect.attempt, target, std::move(call), {});
}

void RequestForwarder::run(const ForwardRequest &effect)
{
    HttpHeaders headers{{std::string(wire::hops), std::to_string(effect.hops)},
                        {std::string(wire::clockMilliseconds), std::to_string(effect.time.wall.time_since_epoch().count())},
                        {std::string(wire::clockCounter), std::to_string(effect.time.counter)}};
    if (effect.entry != noMember) {
        headers.emplace_back(wire::entry, std::to_string(effect.entry.value()));
    }
    if (effect.waited > Duration::zero()) {
        headers.emplace_back(wire::waitedMs, std::to_string(std::chrono::ceil<std::chrono::milliseconds>(effect.waited).count()));
    }
    if (effect.entryEndsIn) {
        headers.emplace_back(wire::entryEndsMs, std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(*effect.entryEndsIn).count()));
    }
    if (effect.entryEndsAt) {
        headers.emplace_back(wire::entryEndsAtMs, std::to_string(effect.entryEndsAt->time_since_epoch().count()));
    }
    if (effect.routed) {
        const auto objective = std::chrono::duration_cast<std::chrono::milliseconds>(effect.routed->objective);
        headers.emplace_back(wire::service, effect.routed->service.value());
        headers.emplace_back(wire::repeatable, effect.routed->repeatable ? "1" : "0");
        headers.emplace_back(wire::priority, std::to_string(effect.routed->priority));
        headers.emplace_back(wire::objective, std::to_string(objective.count()));
        headers.emplace_back(wire::workClass, std::to_string(effect.routed->workClass));
    }
    if (effect.relayed) {
        appendRelayedStatement(headers, *effect.relayed);
    }
    const Private::Destination peer{.kind = AttemptDestination::Peer,
                                    .endpoint = effect.peer,
                                    .deadline = effect.deadline,
                                    .statedDeadline = effect.deadline,
                                    .expiredWorkFrom = {},
                                    .freshConnection = effect.freshConnection,
                                    .keepAnswer = false,
                                    .deadlineForHeadOnly = effect.deadlineForHeadOnly,
                                    .mayBeIdle = effect.mayBeIdle};
    m_d->start(effect.request, effect.attempt, peer, {}, std::move(headers));
}

void RequestForwarder::run(const CancelAttempt &effect)
{
    const auto found = m_d->attempts.find(effect.attempt);
    if (found != m_d->attempts.end()) {
        found->second.second->cancel();
    }
}

void RequestForwarder::run(const RefuseRequest &effect)
{
    if (const auto request = m_d->find(effect.request)) {
        request->refuse(effect);
        m_d->requests.erase(effect.request);
    }
}

void RequestForwarder::run(const AnswerFromStore &effect)
{
    if (const auto request = m_d->find(effect.request)) {
        request->answer(effect.answer);
        m_d->requests.erase(effect.request);
    }
}

std::size_t RequestForwarder::openRequests() const
{
    return m_d->requests.size();
}

} // namespace nutmeghinge
