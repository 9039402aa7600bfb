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
 * Holds the requests of callers and peers while the reducer decides, and carries
 * its effects out: sends to the target, forwards to other nodes, streams the
 * answer back with a bounded buffer, refuses. Borrows loop, client and protocol.
 */
class RequestForwarder
{
public:
    using EventFunction = std::function<void(EventBody)>;

    enum class Source : std::uint8_t {
        Caller,
        Peer,
    };

    RequestForwarder(EventLoop &loop, HttpClient &client, const RequestProtocol &protocol, EventFunction events);
    ~RequestForwarder();
    RequestForwarder(const RequestForwarder &) = delete;
    RequestForwarder &operator=(const RequestForwarder &) = delete;

    /** Takes up a request: strips the system's headers of callers, makes RequestArrived. */
    void accept(std::shared_ptr<HttpExchange> exchange, Source source);

    void run(const SendToTarget &effect);
    void run(const ForwardRequest &effect);
    void run(const CancelAttempt &effect);
    void run(const RefuseRequest &effect);
    void run(const AnswerFromStore &effect);

    /** Requests that have not ended. */
    std::size_t openRequests() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace nutmeghinge
