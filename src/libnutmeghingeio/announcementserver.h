#pragma once

#include "announcementport.h"
#include "clientlimits.h"
#include "endpoint.h"

#include <memory>
#include <string_view>
#include <variant>

namespace nutmeghinge {

class EventLoop;

/** Reports why an announcement is invalid. */
struct AnnouncementError {
    std::string reason;
};

/** Parses a target's announcement from JSON text. */
std::variant<TargetAnnounced, AnnouncementError> parseAnnouncement(std::string_view text);

/**
 * HTTP server on which the target on this VM announces itself by POST /announce
 * with a JSON object. Answers 204, or 400 with the reason. Borrows the loop.
 */
class AnnouncementServer : public AnnouncementPort
{
public:
    AnnouncementServer(EventLoop &loop, EventFunction events, ClientLimits limits = {});

    std::variant<Endpoint, ListenError> listen(const Endpoint &endpoint) override;
    /** Does nothing: announcements of this protocol are answered immediately. */
    void run(const AnswerTarget &) override { }

private:
    void handle(const std::shared_ptr<HttpExchange> &exchange);

    EventFunction m_events;
    HttpServer m_server;
};

} // namespace nutmeghinge
