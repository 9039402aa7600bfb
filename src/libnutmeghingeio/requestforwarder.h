#pragma once

#include "effects.h"
#include "events.h"

#include <functional>
#include <memory>

namespace nutmeghinge {

class EventLoop;
class HttpClient;
class HttpExchange;
class RequestProtocol;

/**
 * Holds the open requests of callers and peers and executes the reducer's effects
 * on them: sends a request to the target, forwards it to another node, streams the
 * answer back with a bounded buffer, or refuses the request. Does not own loop,
 * client and protocol, which must outlive it.
 */
class RequestForwarder
{
public:
    using EventFunction = std::function<void(EventBody)>;

    /** Kind of client that sent a request. */
    enum class Source : std::uint8_t {
        Caller,
        Peer,
    };

    RequestForwarder(EventLoop &loop, HttpClient &client, const RequestProtocol &protocol, EventFunction events);
    ~RequestForwarder();
    RequestForwarder(const RequestForwarder &) = delete;
    RequestForwarder &operator=(const RequestForwarder &) = delete;

    /** Accepts a request, strips reserved headers and emits RequestArrived. */
    void accept(std::shared_ptr<HttpExchange> exchange, Source source);

    // Each of these executes one effect of the reducer.
    void run(const SendToTarget &effect);
    void run(const ForwardRequest &effect);
    void run(const CancelAttempt &effect);
    void run(const RefuseRequest &effect);
    void run(const AnswerFromStore &effect);

    /** Returns the number of requests that have not ended. */
    std::size_t openRequests() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace nutmeghinge
