#pragma once

#include <cstdint>

namespace nutmeghinge {

class EventLoop;

/**
 * Drops all further incoming data on the open connections that the loop has at the
 * local port. Neither side is notified. Connections opened later are not affected.
 */
void silenceConnections(EventLoop &loop, std::uint16_t localPort);

} // namespace nutmeghinge
