#include "documentdiff.h"

#include "timetext.h"

#include <array>
#include <cstdio>
#include <map>
#include <string_view>

namespace nutmeghinge {

namespace {

using Texts = std::vector<std::string>;

/** Describes one field of a document: its value as text and the effect of a change. */
struct ComparedField {
    const char *path;
    std::string (*text)(const Document &document);
    /** Text in which "{}" is replaced by the new value. */
    const char *effect;
};

std::string joined(const Texts &texts)
{
    std::string result;
    for (const std::string &text : texts) {
        result += (result.empty() ? "" : ", ") + text;
    }
    return result;
}

std::string flagText(bool flag)
{
    return flag ? "true" : "false";
}

std::string ratioText(double ratio)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.12g", ratio);
    return text.data();
}

std::string objectiveText(Document::Objective objective)
{
    return objective == Document::Objective::Imbalance ? "imbalance" : "unavailable-time";
}

constexpr std::array fieldsBeforeSchedule{
    ComparedField{"service", [](const Document &document) { return document.service.value(); }, "the document belongs to another service: {}"},
    ComparedField{"hosts", [](const Document &document) { return joined(document.hosts); }, "requests for these hosts reach the service: {}"},
    ComparedField{"targets.allow", [](const Document &document) { return joined(document.allowedTargets); }, "only these targets may serve: {}"},
    ComparedField{"targets.checkFence",
                  [](const Document &document) { return flagText(document.targetsCheckFence); },
                  "targets refuse requests with an old fence: {}"},
    ComparedField{"targets.executionLimit",
                  [](const Document &document) { return durationText(document.executionLimit); },
                  "a target runs one request for {} at most"},
    ComparedField{"targets.slowStart",
                  [](const Document &document) { return durationText(document.slowStart); },
                  "a cold target receives its full share of the load after {}"},
    ComparedField{"targets.grants",
                  [](const Document &document) { return std::string(document.grantsByHeartbeat ? "heartbeat" : "push"); },
                  "targets receive their grants by {}"},
    ComparedField{"targets.holdTime",
                  [](const Document &document) { return durationText(document.holdTime); },
                  "the answer to a heartbeat grants a target lease of up to {}"},
    ComparedField{"keys.placement", [](const Document &document) { return std::string(document.placedByRange ? "range" : "hash"); }, "keys are placed by {}"},
    ComparedField{"keys.header", [](const Document &document) { return document.keyHeader; }, "the request header that holds the key is \"{}\""},
    ComparedField{"keys.shards", [](const Document &document) { return std::to_string(document.shards); }, "keys are divided anew into {} shards"},
    ComparedField{"keys.hot", [](const Document &document) { return std::to_string(document.hotKeys); }, "up to {} hot keys get a shard of their own"},
};

constexpr std::array fieldsAfterSchedule{
    ComparedField{"balance.objective", [](const Document &document) { return objectiveText(document.objective); }, "balance weighs {} most"},
    ComparedField{"balance.targetRatio",
                  [](const Document &document) { return ratioText(document.targetRatio); },
                  "a peak of up to {} times the mean load is left as it is"},
    ComparedField{"balance.movesPerMinute",
                  [](const Document &document) { return std::to_string(document.movesPerMinute); },
                  "up to {} planned shard moves per minute"},
    ComparedField{"limits.queue", [](const Document &document) { return std::to_string(document.queue); }, "up to {} requests wait at a node"},
    ComparedField{"limits.deadline",
                  [](const Document &document) { return durationText(document.deadline); },
                  "a request without a deadline gets a deadline of {}"},
    ComparedField{"limits.retryPercent",
                  [](const Document &document) { return std::to_string(document.retryPercent); },
                  "up to {} retries for each 100 requests"},
    ComparedField{"limits.retryReserve",
                  [](const Document &document) { return std::to_string(document.retryReserve); },
                  "{} retries are allowed regardless of the number of requests"},
    ComparedField{"limits.retryWindow", [](const Document &document) { return durationText(document.retryWindow); }, "retries are counted over {}"},
    ComparedField{"limits.requestBody",
                  [](const Document &document) { return std::to_string(document.requestBodyLimit); },
                  "request bodies of up to {} bytes are accepted"},
    ComparedField{"limits.deduplicationWindow",
                  [](const Document &document) { return durationText(document.deduplicationWindow); },
                  "answers are stored by Idempotency-Key for {}"},
    ComparedField{"limits.deduplicationEntries",
                  [](const Document &document) { return std::to_string(document.deduplicationEntries); },
                  "a node stores up to {} answers by Idempotency-Key"},
    ComparedField{"leases.holdLimit",
                  [](const Document &document) { return durationText(document.holdLimit); },
                  "owners keep their keys for up to {} without the platform"},
};

std::string effectText(std::string_view effect, const std::string &value)
{
    const std::size_t placeholder = effect.find("{}");
    return std::string(effect.substr(0, placeholder)) + (value.empty() ? "none" : value) + std::string(effect.substr(placeholder + 2));
}

template <std::size_t Count>
void compareFields(const std::array<ComparedField, Count> &fields, const Document &before, const Document &after, std::vector<DocumentChange> &changes)
{
    for (const ComparedField &field : fields) {
        const std::string oldText = field.text(before);
        const std::string newText = field.text(after);
        if (oldText != newText) {
            changes.push_back({field.path, oldText, newText, effectText(field.effect, newText)});
        }
    }
}

std::string shrinkEffect(const Texts &before, const Texts &after, const std::string &at)
{
    if (after.empty()) {
        return joined(before) + (before.size() == 1 ? " no longer leaves at " : " no longer leave at ") + at;
    }
    std::string effect = joined(after) + (after.size() == 1 ? " leaves at " : " leave at ") + at;
    if (!before.empty()) {
        effect += ", before it was " + joined(before);
    }
    return effect;
}

void compareShrink(const Document &before, const Document &after, std::vector<DocumentChange> &changes)
{
    std::map<WallTime, std::pair<Texts, Texts>> steps;
    for (const ShrinkStep &step : before.shrink) {
        steps[step.at].first = step.leaving;
    }
    for (const ShrinkStep &step : after.shrink) {
        steps[step.at].second = step.leaving;
    }
    for (const auto &[at, leaving] : steps) {
        const auto &[oldLeaving, newLeaving] = leaving;
        if (oldLeaving != newLeaving) {
            const std::string time = wallTimeText(at);
            changes.push_back({"shrink[" + time + ']', joined(oldLeaving), joined(newLeaving), shrinkEffect(oldLeaving, newLeaving, time)});
        }
    }
}

void compareStop(const Document &before, const Document &after, std::vector<DocumentChange> &changes)
{
    if (before.stop == after.stop) {
        return;
    }
    const std::string oldText = before.stop ? wallTimeText(*before.stop) : "";
    const std::string newText = after.stop ? wallTimeText(*after.stop) : "";
    changes.push_back({"stop.at", oldText, newText, after.stop ? "the service accepts no new requests from " + newText : "the service no longer stops"});
}

} // namespace

std::vector<DocumentChange> differenceOf(const Document &before, const Document &after)
{
    std::vector<DocumentChange> changes;
    compareFields(fieldsBeforeSchedule, before, after, changes);
    compareShrink(before, after, changes);
    compareStop(before, after, changes);
    compareFields(fieldsAfterSchedule, before, after, changes);
    return changes;
}

} // namespace nutmeghinge
