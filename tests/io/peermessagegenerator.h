#pragma once

#include "peermessages.h"

#include <rapidcheck.h>

namespace nutmeghinge {

/** Any message that keeps within the limits of PeerMessageCodec. */
rc::Gen<PeerMessage> anyPeerMessage();

} // namespace nutmeghinge
