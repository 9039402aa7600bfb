#pragma once

#include "answerrefusal.h"
#include "events.h"
#include "httpclient.h"
#include "requestprotocol.h"

#include <functional>
#include <memory>
#include <optional>

namespace nutmeghinge {

class EventLoop;
class ForwardedRequest;

/**
 * One attempt of a request at a target or peer. Forwards the answer to the caller
 * and emits the attempt's events, the last of which is AttemptFinished.
 */
class ForwardedAttempt final : public HttpAnswerReceiver, public std::enable_shared_from_this<ForwardedAttempt>
{
public:
    struct Options {
        AttemptId id;
        AttemptDestination destination = AttemptDestination::Target;
        /** Parameters of the call to the target. An attempt at a peer uses the attempt id only. */
        TargetCall call;
        /** Time from which on the target's answer that its time is over ends the attempt as unknown; such an answer before it goes to the caller. */
        std::optional<MonotonicTime> expiredWorkFrom;
        /** Whether to buffer the answer until it is complete, unless its body exceeds bufferLimit. */
        bool keepAnswer = false;
        /** Largest answer body to buffer, in bytes. */
        std::size_t bufferLimit = 0;
    };
    using EventFunction = std::function<void(EventBody)>;
    /** Called with the result of the client's call when it has ended. */
    using EndFunction = std::function<void(HttpCallResult)>;

    ForwardedAttempt(EventLoop &loop, HttpClient &client, std::shared_ptr<ForwardedRequest> request, Options options, EventFunction events, EndFunction ended);

    /** Sends the request. Must be called exactly once. */
    void send(HttpClientRequest request);
    /** Cancels the attempt. AttemptFinished is emitted later by the event loop. */
    void cancel();
    /** Ends the attempt without events because the forwarder is being destroyed. */
    void abandon();
    /** Reads the rest of the answer without forwarding it, after the caller has disconnected. */
    void onCallerDisconnected();

    void headReceived(const HttpAnswerHead &head) override;
    bool bodyReceived(std::string_view data) override;
    void finished(HttpCallResult result) override;

private:
    enum class State : std::uint8_t {
        AwaitingHead,
        Buffering,
        Streaming,
        /** Another attempt answers the request. The answer to this one is read and discarded. */
        Discarding,
        /** AttemptFinished was emitted. Further bytes are discarded. */
        Finished,
    };

    void readStatement(const HttpAnswerHead &head);
    bool isAnswerToAttempt(const HttpAnswerHead &head) const;
    bool saysWorkTimeExpired(const HttpAnswerHead &head) const;
    std::optional<std::variant<AttemptNotRun, AttemptUnknown>> parseRefusal(const HttpAnswerHead &head) const;
    void acceptAnswer(const HttpAnswerHead &head);
    void startStreaming();
    void discardBody(std::string_view data);
    bool bufferBody(std::string_view data);
    void onAnswerComplete();
    void onAnswerFailed(HttpCallResult result);
    void finish(std::variant<AttemptAnswered, AttemptNotRun, AttemptUnknown> result);

    EventLoop &m_loop;
    HttpClient &m_client;
    std::shared_ptr<ForwardedRequest> m_request;
    Options m_options;
    EventFunction m_events;
    EndFunction m_ended;
    HttpClient::CallId m_call = 0;
    /** What the target that sent the answer said about itself, if anything. */
    std::optional<RelayedStatement> m_targetStatement;
    /** Bytes of the body that were discarded after AttemptFinished. */
    std::size_t m_discardedBytes = 0;
    /** Size of the part of the body that was received. */
    std::uint64_t m_bodyBytes = 0;
    State m_state = State::AwaitingHead;
    HttpAnswerHead m_head;
    std::string m_bufferedBody;
};

} // namespace nutmeghinge
