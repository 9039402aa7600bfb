#include "timelinerecord.h"

#include <algorithm>
#include <array>

namespace nutmeghinge {

namespace {

// One name per kind, in the order of the enumerators.
constexpr std::array kindNames{
    "NodeStarted",      "StopRequested",    "NodeStopped",       "TargetAnnounced",     "TargetSilent",      "TargetUnproven",
    "TargetLimitNamed", "TargetLimitEnded", "TargetLeaving",     "TargetCrashed",       "SuspectCleared",    "SuspectExpired",
    "TermStarted",      "TermEnded",        "ElectionFailed",    "LeaseGranted",        "LeaseHeld",         "LeaseLapsed",
    "ShardGranted",     "ShardReleasing",   "ShardReleased",     "ShardLost",           "ForwardsCancelled", "HandoverSent",
    "HandoverReceived", "MemberAdded",      "MemberRemoved",     "MembersChanged",      "CellFull",          "RowWritten",
    "RowConflict",      "RowRefused",       "PlatformDown",      "PlatformUp",          "TableRestored",     "DocumentInForce",
    "DocumentRejected", "HotKeySplit",      "HotKeyMerged",      "RequestArrived",      "RequestForwarded",  "RequestSentToTarget",
    "RequestRetried",   "RequestQueued",    "RequestAnswered",   "RequestAnsweredLate", "RequestRefused",    "RequestUnknown",
    "RequestCancelled", "DuplicateJoined",  "DuplicateAnswered", "StaleFence",          "BadInput",
};
static_assert(kindNames.size() == static_cast<std::size_t>(TimelineRecord::Kind::BadInput) + 1);

} // namespace

std::string_view nameOf(TimelineRecord::Kind kind)
{
    return kindNames[static_cast<std::size_t>(kind)];
}

std::optional<TimelineRecord::Kind> kindOfName(std::string_view name)
{
    const auto *const found = std::find(kindNames.begin(), kindNames.end(), name);
    return found == kindNames.end() ? std::nullopt : std::optional(static_cast<TimelineRecord::Kind>(found - kindNames.begin()));
}

bool isAboutRequest(TimelineRecord::Kind kind)
{
    return kind >= TimelineRecord::Kind::RequestArrived && kind <= TimelineRecord::Kind::DuplicateAnswered;
}

bool isRequestFailure(TimelineRecord::Kind kind)
{
    switch (kind) {
    case TimelineRecord::Kind::RequestAnsweredLate:
    case TimelineRecord::Kind::RequestRefused:
    case TimelineRecord::Kind::RequestUnknown:
    case TimelineRecord::Kind::RequestCancelled:
        return true;
    default:
        return false;
    }
}

} // namespace nutmeghinge
