#include "requeststory.h"

#include "timelinetext.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace nutmeghinge {

namespace {

/** Only the last entry of a group counts: it replaces what the earlier ones made a node believe. */
constexpr std::array<std::array<std::string_view, 3>, 6> nodeBeliefs{{
    {"NodeStarted", "StopRequested", "NodeStopped"},
    {"TermStarted", "TermEnded", ""},
    {"LeaseHeld", "LeaseLapsed", ""},
    {"PlatformDown", "PlatformUp", ""},
    {"TargetAnnounced", "TargetSilent", ""},
    {"DocumentInForce", "", ""},
}};

constexpr std::array<std::string_view, 4> ownershipKinds{"ShardGranted", "ShardReleasing", "ShardReleased", "ShardLost"};

/** Milliseconds. A change of owner from longer ago does not explain a request without one. */
constexpr std::uint64_t longestMove = 20000;

template <typename Kinds>
bool isAnyOf(const std::string &kind, const Kinds &kinds)
{
    return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}

bool endsRequest(const std::string &kind)
{
    constexpr std::array<std::string_view, 5> ends{"RequestAnswered", "RequestAnsweredLate", "RequestRefused", "RequestUnknown", "DuplicateAnswered"};
    return isAnyOf(kind, ends);
}

/**
 * Entries of owners stand for runs of shards and name the first. The one that made a step's owner has the step's
 * fencing token; a step without one waits for an owner, and the latest change of its run tells why.
 */
bool explainsOwner(const TimelineEntry &entry, const TimelineEntry &step)
{
    if (!step.shard || !entry.shard || *entry.shard > *step.shard || !isAnyOf(entry.kind, ownershipKinds)) {
        return false;
    }
    return step.fence.empty() ? step.wall - entry.wall <= longestMove : entry.fence == step.fence;
}

std::vector<RequestStory::Belief>
beliefsAt(const TimelineEntry &step, std::vector<TimelineEntry>::const_iterator first, std::vector<TimelineEntry>::const_iterator end)
{
    std::vector<RequestStory::Belief> beliefs;
    std::array<bool, nodeBeliefs.size()> known{};
    bool ownerKnown = false;
    while (end != first) {
        const TimelineEntry &entry = *--end;
        bool tells = !ownerKnown && explainsOwner(entry, step);
        ownerKnown = ownerKnown || tells;
        for (std::size_t group = 0; group < nodeBeliefs.size(); ++group) {
            if (!known[group] && entry.node == step.node && isAnyOf(entry.kind, nodeBeliefs[group])) {
                known[group] = true;
                tells = true;
            }
        }
        if (tells) {
            beliefs.push_back({entry, step.wall - entry.wall});
        }
    }
    return beliefs;
}

/** A step decided by what its node believed; the others only report. */
bool isDecision(const TimelineEntry &entry)
{
    return entry.kind != "RequestArrived" && entry.kind != "RequestAnswered";
}

} // namespace

std::optional<RequestStory> RequestStory::of(const std::string &callerId, const std::vector<TimelineEntry> &entries)
{
    RequestStory story;
    for (auto entry = entries.begin(); entry != entries.end(); ++entry) {
        if (entry->callerId != callerId) {
            continue;
        }
        Step step;
        step.entry = *entry;
        step.after = story.m_steps.empty() ? 0 : entry->wall - story.m_steps.back().entry.wall;
        if (isDecision(*entry)) {
            step.beliefs = beliefsAt(*entry, entries.begin(), entry);
        }
        story.m_steps.push_back(std::move(step));
    }
    return story.m_steps.empty() ? std::nullopt : std::optional(std::move(story));
}

std::vector<std::string> RequestStory::conclusions() const
{
    std::vector<std::string> sentences;
    const std::string &entryNode = m_steps.front().entry.node;
    const auto end =
        std::find_if(m_steps.rbegin(), m_steps.rend(), [&](const Step &step) { return step.entry.node == entryNode && endsRequest(step.entry.kind); });
    if (end == m_steps.rend()) {
        sentences.push_back("No end of the request at " + entryNode + ", where it came in, is in these logs.");
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

std::string RequestStory::toText() const
{
    std::string text;
    for (const Step &step : m_steps) {
        text += '+' + std::to_string(step.after) + " ms  " + TimelineText::toLine(step.entry) + '\n';
        for (const Belief &belief : step.beliefs) {
            text += "        known for " + std::to_string(belief.age) + " ms: " + TimelineText::toLine(belief.entry) + '\n';
        }
    }
    for (const std::string &sentence : conclusions()) {
        text += sentence + '\n';
    }
    return text;
}

nlohmann::json RequestStory::toJson() const
{
    nlohmann::json steps = nlohmann::json::array();
    for (const Step &step : m_steps) {
        nlohmann::json beliefs = nlohmann::json::array();
        for (const Belief &belief : step.beliefs) {
            beliefs.push_back({{"ageMs", belief.age}, {"entry", TimelineText::toJson(belief.entry)}});
        }
        steps.push_back({{"afterMs", step.after}, {"entry", TimelineText::toJson(step.entry)}, {"beliefs", std::move(beliefs)}});
    }
    return {{"steps", std::move(steps)}, {"conclusions", conclusions()}};
}

} // namespace nutmeghinge
