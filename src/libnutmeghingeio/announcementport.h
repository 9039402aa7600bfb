#pragma once

#include "effects.h"
#include "events.h"
#include "httpserver.h"

#include <functional>
#include <variant>

namespace nutmeghinge {

/** Interface of the listener on which the target on this VM announces itself. Emits TargetAnnounced events. */
class AnnouncementPort
{
public:
    using EventFunction = std::function<void(EventBody)>;

    virtual ~AnnouncementPort() = default;

    /** Opens the listener and returns its endpoint. */
    virtual std::variant<Endpoint, ListenError> listen(const Endpoint &endpoint) = 0;
    /** Sends the answer to an announcement that waits for one. */
    virtual void run(const AnswerTarget &effect) = 0;
};

} // namespace nutmeghinge
