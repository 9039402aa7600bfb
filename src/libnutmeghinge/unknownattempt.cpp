#include "unknownattempt.h"

namespace nutmeghinge {

namespace {

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + " ms";
}

} // namespace

std::string UnknownAttempt::toText() const
{
    std::string text(nameOf(cause));
    if (member == noMember) {
        text += " at the target";
    } else {
        text += (reported ? " reported by member " : " at member ") + std::to_string(member.value());
    }
    return text + ", " + milliseconds(length) + " after it was sent and " + milliseconds(sinceArrival) + " after the request arrived";
}

} // namespace nutmeghinge
