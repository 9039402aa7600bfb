#pragma once

#include "ids.h"
#include "units.h"
#include "unknowncause.h"

#include <string>

namespace nutmeghinge {

/** How an attempt ended whose outcome is not known. */
struct UnknownAttempt {
    UnknownCause cause = UnknownCause::NotStated;
    /** Member that the attempt was sent to; noMember if it was sent to this node's own target. */
    MemberSlot member = noMember;
    /** The member reported the cause; otherwise this node saw it. */
    bool reported = false;
    /** Time from the start of the attempt to its end. */
    Duration length{0};
    /** Time from the arrival of the request to the end of the attempt. */
    Duration sinceArrival{0};

    /** Returns a short text for the timeline. */
    std::string toText() const;
};

} // namespace nutmeghinge
