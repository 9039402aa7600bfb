#include "notrunreasonname.h"

#include <array>
#include <utility>

namespace nutmeghinge {

namespace {

constexpr std::array<std::pair<NotRunReason, std::string_view>, 8> names{{
    {NotRunReason::NotConnected, "not-connected"},
    {NotRunReason::NotOwner, "not-owner"},
    {NotRunReason::Overloaded, "overloaded"},
    {NotRunReason::StaleFence, "stale-fence"},
    {NotRunReason::Stopping, "stopping"},
    {NotRunReason::DeadlineExpired, "deadline-expired"},
    {NotRunReason::TargetsCrashed, "targets-crashed"},
    {NotRunReason::BadRequest, "bad-request"},
}};

} // namespace

std::string_view nameOf(NotRunReason reason)
{
    for (const auto &[known, name] : names) {
        if (known == reason) {
            return name;
        }
    }
    return {};
}

std::optional<NotRunReason> notRunReasonOf(std::string_view name)
{
    for (const auto &[reason, known] : names) {
        if (known == name) {
            return reason;
        }
    }
    return std::nullopt;
}

} // namespace nutmeghinge
