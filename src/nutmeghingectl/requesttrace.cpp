#include "requesttrace.h"

#include "timelinetext.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace nutmeghinge {

namespace {

/** Groups of record kinds that describe the same part of a node's state: the last entry of a group replaces the earlier ones. */
constexpr std::array<std::array<std::string_view, 3>, 6> nodeStateKinds{{
    {"NodeStarted", "StopRequested", "NodeStopped"},
    {"TermStarted", "TermEnded", "ElectionFailed"},
    {"LeaseHeld", "LeaseLapsed", ""},
    {"PlatformDown", "PlatformUp", ""},
    {"TargetAnnounced", "TargetSilent", ""},
    {"DocumentInForce", "", ""},
}};

constexpr std::array<std::string_view, 4> ownershipKinds{"ShardGranted", "ShardReleasing", "ShardReleased", "ShardLost"};

/** Maximum age, in milliseconds, at which a change of owner explains a request that has no owner. */
constexpr std::uint64_t maxOwnerChangeAge = 20000;

template <typename Kinds>
bool isAnyOf(const std::string &kind, const Kinds &kinds)
{
    return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}

bool endsRequest(const std::string &kind)
{
    constexpr std::array<std::string_view, 6> ends{
        "RequestAnswered", "RequestAnsweredLate", "RequestRefused", "RequestUnknown", "RequestCancelled", "DuplicateAnswered"};
    return isAnyOf(kind, ends);
}

/**
 * Returns whether the entry explains which owner the shard had at the step. An ownership entry covers a run of consecutive
 * shards and names the first. The entry that set the owner has the same fencing token as the step. A step without a token
 * waits for an owner; the latest ownership change of those shards explains why.
 */
bool explainsOwner(const TimelineEntry &entry, const TimelineEntry &step)
{
    if (!step.shard || !entry.shard || *entry.shard > *step.shard || !isAnyOf(entry.kind, ownershipKinds)) {
        return false;
    }
    return step.fence.empty() ? step.wall - entry.wall <= maxOwnerChangeAge : entry.fence == step.fence;
}

std::vector<RequestTrace::KnownState>
knownStatesAt(const TimelineEntry &step, std::vector<TimelineEntry>::const_iterator first, std::vector<TimelineEntry>::const_iterator end)
{
    std::vector<RequestTrace::KnownState> knownStates;
    std::array<bool, nodeStateKinds.size()> known{};
    bool ownerKnown = false;
    while (end != first) {
        const TimelineEntry &entry = *--end;
        bool isRelevant = !ownerKnown && explainsOwner(entry, step);
        ownerKnown = ownerKnown || isRelevant;
        for (std::size_t group = 0; group < nodeStateKinds.size(); ++group) {
            if (!known[group] && entry.node == step.node && isAnyOf(entry.kind, nodeStateKinds[group])) {
                known[group] = true;
                isRelevant = true;
            }
        }
        if (isRelevant) {
            knownStates.push_back({entry, step.wall - entry.wall});
        }
    }
    return knownStates;
}

/** Returns whether the step is a decision that depends on what the node knew; other steps only report. */
bool isDecision(const TimelineEntry &entry)
{
    return entry.kind != "RequestArrived" && entry.kind != "RequestAnswered";
}

} // namespace

std::optional<RequestTrace> RequestTrace::fromEntries(const std::string &callerId, const std::vector<TimelineEntry> &entries)
{
    RequestTrace trace;
    for (auto entry = entries.begin(); entry != entries.end(); ++entry) {
        if (entry->callerId != callerId) {
            continue;
        }
        Step step;
        step.entry = *entry;
        step.after = trace.m_steps.empty() ? 0 : entry->wall - trace.m_steps.back().entry.wall;
        if (isDecision(*entry)) {
            step.knownStates = knownStatesAt(*entry, entries.begin(), entry);
        }
        trace.m_steps.push_back(std::move(step));
    }
    return trace.m_steps.empty() ? std::nullopt : std::optional(std::move(trace));
}

std::vector<std::string> RequestTrace::conclusions() const
{
    std::vector<std::string> sentences;
    const std::string &entryNode = m_steps.front().entry.node;
    const auto end =
        std::find_if(m_steps.rbegin(), m_steps.rend(), [&](const Step &step) { return step.entry.node == entryNode && endsRequest(step.entry.kind); });
    if (end == m_steps.rend()) {
        sentences.push_back("These logs do not show how the request ended at " + entryNode + ", where it arrived.");
    } else {
        sentences.push_back(end->entry.kind + " at " + entryNode + (end->entry.detail.empty() ? "." : ": " + end->entry.detail + "."));
    }
    const auto sent = std::find_if(m_steps.begin(), m_steps.end(), [](const Step &step) { return step.entry.kind == "RequestSentToTarget"; });
    if (sent != m_steps.end()) {
        sentences.push_back("It was sent to the target of " + sent->entry.node + ": it may have run.");
    } else {
        sentences.push_back("No line says that it was sent to a target.");
    }
    const auto longest = std::max_element(m_steps.begin(), m_steps.end(), [](const Step &left, const Step &right) { return left.after < right.after; });
    if (longest->after > 0) {
        sentences.push_back("The longest time passed before " + longest->entry.kind + " at " + longest->entry.node + ": " + std::to_string(longest->after)
                            + " ms, since " + std::prev(longest)->entry.kind + " at " + std::prev(longest)->entry.node + '.');
    }
    return sentences;
}

std::string RequestTrace::toText() const
{
    std::string text;
    for (const Step &step : m_steps) {
        text += '+' + std::to_string(step.after) + " ms  " + TimelineText::toLine(step.entry) + '\n';
        for (const KnownState &known : step.knownStates) {
            text += "        known for " + std::to_string(known.age) + " ms: " + TimelineText::toLine(known.entry) + '\n';
        }
    }
    for (const std::string &sentence : conclusions()) {
        text += sentence + '\n';
    }
    return text;
}

nlohmann::json RequestTrace::toJson() const
{
    nlohmann::json steps = nlohmann::json::array();
    for (const Step &step : m_steps) {
        nlohmann::json knownStates = nlohmann::json::array();
        for (const KnownState &known : step.knownStates) {
            knownStates.push_back({{"ageMs", known.age}, {"entry", TimelineText::toJson(known.entry)}});
        }
        steps.push_back({{"afterMs", step.after}, {"entry", TimelineText::toJson(step.entry)}, {"beliefs", std::move(knownStates)}});
    }
    return {{"steps", std::move(steps)}, {"conclusions", conclusions()}};
}

} // namespace nutmeghinge
