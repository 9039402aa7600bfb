#pragma once

#include <cstdint>

namespace nutmeghinge {

class EventLoop;

/** All present connections of the loop to the local port receive nothing any more, without a sign to either side; new ones work. */
void silenceConnections(EventLoop &loop, std::uint16_t localPort);

} // namespace nutmeghinge
