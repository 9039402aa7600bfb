#pragma once

#include "announcementport.h"
#include "endpoint.h"

#include <memory>
#include <string_view>
#include <variant>

namespace nutmeghinge {

class EventLoop;

/** Why an announcement was refused. */
struct AnnouncementFault {
    std::string reason;
};

/** Reads a target's announcement from its JSON text. */
std::variant<TargetAnnounced, AnnouncementFault> parseAnnouncement(std::string_view text);

/**
 * Listener for the target beside this node: POST /announce with a JSON object,
 * answered 204, or 400 with the reason. Borrows the loop.
 */
class AnnouncementServer : public AnnouncementPort
{
public:
    AnnouncementServer(EventLoop &loop, EventFunction events);

    std::variant<Endpoint, ListenFault> listen(const Endpoint &endpoint) override;
    /** Announcements of this protocol are answered as they come. */
    void run(const AnswerTarget &) override { }

private:
    void handle(const std::shared_ptr<HttpExchange> &exchange);

    EventFunction m_events;
    HttpServer m_server;
};

} // namespace nutmeghinge
