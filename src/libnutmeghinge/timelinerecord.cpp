#include "timelinerecord.h"

#include <array>

namespace nutmeghinge {

std::string_view nameOf(TimelineRecord::Kind kind)
{
    // One name for each kind, in the order of the enumeration.
    static constexpr std::array names{
        "NodeStarted",         "StopRequested",    "NodeStopped",      "TargetAnnounced", "TargetSilent",   "TermStarted",    "TermEnded",
        "LeaseGranted",        "LeaseHeld",        "LeaseLapsed",      "ShardGranted",    "ShardReleasing", "ShardReleased",  "ShardLost",
        "HandoverSent",        "HandoverReceived", "MemberAdded",      "MemberRemoved",   "RowWritten",     "RowConflict",    "PlatformDown",
        "PlatformUp",          "DocumentInForce",  "DocumentRejected", "HotKeySplit",     "HotKeyMerged",   "RequestArrived", "RequestForwarded",
        "RequestSentToTarget", "RequestRetried",   "RequestQueued",    "RequestAnswered", "RequestRefused", "RequestUnknown", "DuplicateJoined",
        "DuplicateAnswered",   "StaleFence",       "BadInput",
    };
    static_assert(names.size() == static_cast<std::size_t>(TimelineRecord::Kind::BadInput) + 1);
    return names[static_cast<std::size_t>(kind)];
}

std::string toText(const TimelineRecord &record)
{
    std::string text(nameOf(record.kind));
    const auto append = [&](std::string_view name, const auto &field) {
        if (field) {
            text.append(" ").append(name).append("=").append(std::to_string(field->value()));
        }
    };
    append("request", record.request);
    if (!record.callerId.empty()) {
        text += " id=" + record.callerId;
    }
    append("shard", record.shard);
    append("member", record.member);
    append("document", record.document);
    if (record.fence) {
        text += " fence=" + std::to_string(record.fence->term.value()) + '.' + std::to_string(record.fence->sequence);
    }
    return record.detail.empty() ? text : text + ' ' + record.detail;
}

bool isAboutRequest(TimelineRecord::Kind kind)
{
    return kind >= TimelineRecord::Kind::RequestArrived && kind <= TimelineRecord::Kind::DuplicateAnswered;
}

} // namespace nutmeghinge
