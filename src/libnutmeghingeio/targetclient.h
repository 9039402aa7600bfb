#pragma once

#include "effects.h"
#include "events.h"

#include <functional>
#include <memory>

namespace nutmeghinge {

class EventLoop;
class HttpClient;

/**
 * Speaks to the target beside this node: probes of health and load, and grants.
 * Requests go by the RequestForwarder. Borrows loop and client.
 */
class TargetClient
{
public:
    using EventFunction = std::function<void(EventBody)>;

    TargetClient(EventLoop &loop, HttpClient &client, EventFunction events);
    ~TargetClient();
    TargetClient(const TargetClient &) = delete;
    TargetClient &operator=(const TargetClient &) = delete;

    void run(const ProbeTarget &effect);
    void run(const GrantToTarget &effect);

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace nutmeghinge
