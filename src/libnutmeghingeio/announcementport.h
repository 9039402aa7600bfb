#pragma once

#include "effects.h"
#include "events.h"
#include "httpserver.h"

#include <functional>
#include <variant>

namespace nutmeghinge {

/** Listener on which the target beside this node announces itself; makes TargetAnnounced events. */
class AnnouncementPort
{
public:
    using EventFunction = std::function<void(EventBody)>;

    virtual ~AnnouncementPort() = default;

    virtual std::variant<Endpoint, ListenFault> listen(const Endpoint &endpoint) = 0;
    /** Answers an announcement that asked for it. */
    virtual void run(const AnswerTarget &effect) = 0;
};

} // namespace nutmeghinge
