#pragma once

#include "peermessages.h"

#include <rapidcheck.h>

namespace nutmeghinge {

/** Generates messages within the limits of PeerMessageCodec. */
rc::Gen<PeerMessage> anyPeerMessage();

} // namespace nutmeghinge
