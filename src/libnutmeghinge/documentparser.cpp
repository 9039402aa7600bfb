#include "documentparser.h"

#include "nametext.h"
#include "timetext.h"
#include "yamlreader.h"

#include <cmath>

namespace nutmeghinge {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint32_t maximumShards = 4096;
constexpr std::uint32_t maximumHotKeys = 1024;
constexpr std::uint32_t maximumQueue = 100000;
constexpr std::uint32_t maximumMovesPerMinute = 100000;
constexpr double maximumRetryRatio = 10;
constexpr std::uint32_t maximumRetryReserve = 1000000;
constexpr std::uint32_t maximumDeduplicationEntries = 1000000;
constexpr std::uint64_t maximumRequestBodyBytes = std::uint64_t(1) << 30U;
constexpr hours maximumHoldLimit{24 * 30};

void readTargets(YamlMapping fields, Document &document)
{
    fields.texts("allow", document.allowedTargets, patternError);
    fields.flag("checkFence", document.targetsCheckFence);
    fields.choice<bool>("grants", document.grantsByHeartbeat, {{"push", false}, {"heartbeat", true}});
    fields.duration("holdTime", document.holdTime, seconds(1), minutes(1));
    fields.duration("executionLimit", document.executionLimit, milliseconds(1), hours(1));
    fields.duration("slowStart", document.slowStart, seconds(0), hours(1));
    fields.reportUnknown();
}

void readKeys(YamlMapping fields, Document &document)
{
    fields.text("header", document.keyHeader, headerError);
    fields.choice<bool>("placement", document.placedByRange, {{"hash", false}, {"range", true}});
    fields.number("shards", document.shards, 1, maximumShards);
    fields.number("hot", document.hotKeys, 0, maximumHotKeys);
    fields.reportUnknown();
}

void readShrink(std::vector<YamlMapping> steps, Document &document)
{
    for (YamlMapping &fields : steps) {
        ShrinkStep step;
        fields.require("at");
        fields.require("leave");
        const bool hasTime = fields.time("at", step.at);
        fields.texts("leave", step.leaving, patternError);
        fields.reportUnknown();
        if (hasTime && !document.shrink.empty() && step.at <= document.shrink.back().at) {
            fields.addError("at", "must be later than the step before, " + wallTimeText(document.shrink.back().at));
        }
        if (hasTime) {
            document.shrink.push_back(std::move(step));
        }
    }
}

void readStop(YamlMapping fields, Document &document)
{
    WallTime at;
    fields.require("at");
    if (fields.time("at", at)) {
        document.stop = at;
    }
    if (document.stop && !document.shrink.empty() && *document.stop <= document.shrink.back().at) {
        fields.addError("at", "must be later than the last step of shrink, " + wallTimeText(document.shrink.back().at));
    }
    fields.reportUnknown();
}

void readBalance(YamlMapping fields, Document &document)
{
    using Objective = Document::Objective;
    fields.choice<Objective>("objective", document.objective, {{"imbalance", Objective::Imbalance}, {"unavailable-time", Objective::UnavailableTime}});
    fields.ratio("targetRatio", document.targetRatio, 1.01, 10);
    fields.number("movesPerMinute", document.movesPerMinute, 0, maximumMovesPerMinute);
    fields.reportUnknown();
}

/** Reads the retries per request, which a settings template can state instead of a percentage. */
void readRetryRatio(YamlMapping &fields, Document &document)
{
    if (!fields.has("retryRatio")) {
        return;
    }
    if (fields.has("retryPercent")) {
        fields.addError("retryRatio", "must not be given beside retryPercent");
    }
    double ratio = 0;
    fields.ratio("retryRatio", ratio, 0, maximumRetryRatio);
    constexpr double percentPerUnit = 100;
    document.retryPercent = static_cast<std::uint32_t>(std::lround(ratio * percentPerUnit));
}

void readLimits(YamlMapping fields, Document &document)
{
    fields.number("queue", document.queue, 0, maximumQueue);
    fields.duration("deadline", document.deadline, milliseconds(1), hours(1));
    fields.number("retryPercent", document.retryPercent, 0, 100);
    readRetryRatio(fields, document);
    fields.number("retryReserve", document.retryReserve, 0, maximumRetryReserve);
    fields.duration("retryWindow", document.retryWindow, milliseconds(100), hours(1));
    fields.number("requestBody", document.requestBodyLimit, 0, maximumRequestBodyBytes);
    fields.duration("deduplicationWindow", document.deduplicationWindow, seconds(1), hours(24));
    fields.number("deduplicationEntries", document.deduplicationEntries, 1, maximumDeduplicationEntries);
    fields.reportUnknown();
}

void readLeases(YamlMapping fields, Document &document)
{
    fields.duration("holdLimit", document.holdLimit, seconds(1), maximumHoldLimit);
    fields.reportUnknown();
}

void readSections(YamlMapping &root, Document &document)
{
    readTargets(root.mapping("targets"), document);
    readKeys(root.mapping("keys"), document);
    readBalance(root.mapping("balance"), document);
    readLimits(root.mapping("limits"), document);
    readLeases(root.mapping("leases"), document);
}

Document readDocument(YamlMapping &root)
{
    Document document;
    std::string service;
    root.require("service");
    root.text("service", service, nameError);
    document.service = ServiceName(service);
    root.texts("hosts", document.hosts, hostError);
    if (root.has("keys")) {
        root.mapping("keys").require("header");
    }
    readSections(root, document);
    readShrink(root.mappings("shrink"), document);
    if (root.has("stop")) {
        readStop(root.mapping("stop"), document);
    }
    root.reportUnknown();
    return document;
}

} // namespace

Document readServiceDefaults(YamlMapping fields)
{
    Document document;
    readSections(fields, document);
    fields.reportUnknown();
    return document;
}

ParsedDocument parseDocument(std::string_view text)
{
    YamlReader reader(text);
    if (!reader.isReadable()) {
        return reader.errors();
    }
    Document document = readDocument(reader.root());
    if (reader.hasErrors()) {
        return reader.errors();
    }
    return document;
}

} // namespace nutmeghinge
