#include "unknowncause.h"

#include <algorithm>
#include <array>

namespace nutmeghinge {

namespace {

// One name per cause, in the order of the enumerators.
constexpr std::array<std::string_view, unknownCauses> names{
    "connection-lost",
    "unacknowledged",
    "no-progress",
    "deadline-expired",
    "lease-ended",
    "execution-limit",
    "wrong-answer",
    "truncated-answer",
    "work-time-expired",
    "broken-off",
    "owner-replaced",
    "first-unknown",
    "not-stated",
};

} // namespace

std::string_view nameOf(UnknownCause cause)
{
    return names[static_cast<std::size_t>(cause)];
}

std::optional<UnknownCause> unknownCauseOf(std::string_view name)
{
    const auto *const found = std::ranges::find(names, name);
    return found == names.end() ? std::nullopt : std::optional(static_cast<UnknownCause>(found - names.begin()));
}

} // namespace nutmeghinge
