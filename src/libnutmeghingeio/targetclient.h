#pragma once

#include "effects.h"
#include "events.h"

#include <functional>
#include <memory>

namespace nutmeghinge {

class EventLoop;
class HttpClient;

/**
 * Sends the node's own requests to the target beside it: probes of its health and
 * load, and grants of shards. The RequestForwarder sends callers' requests. Does not
 * own loop and client, which must outlive it.
 */
class TargetClient
{
public:
    using EventFunction = std::function<void(EventBody)>;

    TargetClient(EventLoop &loop, HttpClient &client, EventFunction events);
    ~TargetClient();
    TargetClient(const TargetClient &) = delete;
    TargetClient &operator=(const TargetClient &) = delete;

    /** Requests health and load from the target. Emits TargetProbed when both calls have ended. */
    void run(const ProbeTarget &effect);
    /** Opens a connection to the target and closes it again. Emits TargetChecked. */
    void run(const CheckTarget &effect);
    /** Sends the granted shards to the target. Emits TargetGrantFinished. */
    void run(const GrantToTarget &effect);

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace nutmeghinge
