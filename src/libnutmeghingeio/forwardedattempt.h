#pragma once

#include "answerrefusal.h"
#include "events.h"
#include "httpclient.h"
#include "requestprotocol.h"

#include <functional>
#include <memory>
#include <optional>

namespace nutmeghinge {

class ForwardedRequest;

/**
 * One attempt of a request at a target or peer: passes the answer on to the
 * caller and makes the events of the attempt. Ends with one AttemptFinished.
 */
class ForwardedAttempt final : public HttpAnswerReceiver, public std::enable_shared_from_this<ForwardedAttempt>
{
public:
    struct Options {
        AttemptId id;
        AttemptDestination destination = AttemptDestination::Target;
        /** What the target was told; of a peer's attempt the id alone. */
        TargetCall call;
        /** Hold the answer back until it is whole, if it fits. */
        bool keepAnswer = false;
        /** Largest answer to hold back; bytes. */
        std::size_t keepLimit = 0;
    };
    using EventFunction = std::function<void(EventBody)>;
    /** Called with the last result of the client. */
    using EndFunction = std::function<void(HttpCallResult)>;

    ForwardedAttempt(HttpClient &client, std::shared_ptr<ForwardedRequest> request, Options options, EventFunction events, EndFunction ended);

    /** Sends; must be called once. */
    void send(HttpClientRequest request);
    /** Ends the attempt; AttemptFinished follows from the loop. */
    void cancel();
    /** Ends the attempt without events: the forwarder is going. */
    void abandon();
    /** The caller has gone: the rest of the answer is read without being passed on. */
    void callerGone();

    void headReceived(const HttpAnswerHead &head) override;
    bool bodyReceived(std::string_view data) override;
    void finished(HttpCallResult result) override;

private:
    enum class State : std::uint8_t {
        AwaitingHead,
        Holding,
        Streaming,
        /** Another attempt answers the request: the answer is read without being passed on. */
        Dropping,
        /** AttemptFinished has been made; what still comes is dropped. */
        Over,
    };

    bool isOwnAnswer(const HttpAnswerHead &head) const;
    std::optional<std::variant<AttemptNotRun, AttemptUnknown>> refusalIn(const HttpAnswerHead &head) const;
    void takeAnswer(const HttpAnswerHead &head);
    void startStreaming();
    bool hold(std::string_view data);
    void answerComplete();
    void answerBroken(HttpCallResult result);
    void finish(std::variant<AttemptAnswered, AttemptNotRun, AttemptUnknown> result);

    HttpClient &m_client;
    std::shared_ptr<ForwardedRequest> m_request;
    Options m_options;
    EventFunction m_events;
    EndFunction m_ended;
    HttpClient::CallId m_call = 0;
    State m_state = State::AwaitingHead;
    HttpAnswerHead m_head;
    std::string m_heldBody;
};

} // namespace nutmeghinge
