#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace nutmeghinge {

/** Why a request ended without a target's answer although one may have run it. */
enum class UnknownCause : std::uint8_t {
    /** The other side closed or reset the connection. */
    ConnectionLost,
    /** The other side's system did not acknowledge what was sent to it. */
    Unacknowledged,
    /** No byte arrived for too long. */
    NoProgress,
    /** The time limit of the caller or of its route was over. */
    DeadlineExpired,
    /** The lease under which the owner of the key had sent the request to its target ended. */
    LeaseEnded,
    /** The target worked longer than a request may. */
    ExecutionLimit,
    WrongAnswer,
    TruncatedAnswer,
    /** The target ended its work because the time that a stop would leave it was over. */
    WorkTimeExpired,
    /** The node broke the request off because it stops. */
    BrokenOff,
    /** The owner of the key was lost, so the node gave up its attempt there. */
    OwnerReplaced,
    /** The request waited for, or followed, another one with the same Idempotency-Key whose outcome is unknown. */
    FirstUnknown,
    /** The other node reported the outcome without a cause. */
    NotStated,
};

/** Number of causes. */
inline constexpr std::size_t unknownCauses = static_cast<std::size_t>(UnknownCause::NotStated) + 1;

/** Returns the name of the cause in logs, metrics and messages to other nodes. */
std::string_view nameOf(UnknownCause cause);
/** Returns the cause with the name; std::nullopt if there is none. */
std::optional<UnknownCause> unknownCauseOf(std::string_view name);

} // namespace nutmeghinge
