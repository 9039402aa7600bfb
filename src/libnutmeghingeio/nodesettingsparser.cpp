#include "nodesettingsparser.h"

#include "documentparser.h"
#include "endpointtext.h"
#include "nametext.h"
#include "yamlreader.h"

#include <arpa/inet.h>
#include <array>

namespace nutmeghinge {

namespace {

constexpr double maximumLinkMegabits = 1e6;
constexpr std::uint64_t minimumTableRowBytes = 4096;
constexpr std::uint64_t maximumTableRowBytes = 16777216;
constexpr std::uint64_t minimumMemoryBytes = 33554432;
constexpr std::uint64_t maximumMemoryBytes = std::uint64_t(1) << 50U;
constexpr std::uint64_t minimumDescriptors = 128;
constexpr std::uint64_t maximumDescriptors = 10000000;
constexpr std::uint64_t maximumTimelineRecords = 100000;

bool isIpAddress(const std::string &address)
{
    std::array<unsigned char, sizeof(in6_addr)> bytes{};
    return inet_pton(AF_INET, address.c_str(), bytes.data()) == 1 || inet_pton(AF_INET6, address.c_str(), bytes.data()) == 1;
}

std::optional<std::string> endpointError(std::string_view text)
{
    const std::optional<Endpoint> endpoint = endpointFromText(text);
    if (!endpoint || !isIpAddress(endpoint->address)) {
        return "must be an IP address and a port, such as 127.0.0.1:9000";
    }
    return std::nullopt;
}

std::optional<std::string> platformError(std::string_view text)
{
    if (auto reason = endpointError(text)) {
        return reason;
    }
    return text.ends_with(":0") ? std::optional<std::string>("must have a port other than 0") : std::nullopt;
}

template <typename Name>
void readName(YamlMapping &fields, const char *field, Name &name)
{
    std::string text;
    fields.require(field);
    if (fields.text(field, text, nameError)) {
        name = Name(text);
    }
}

void readOptionalName(YamlMapping &fields, const char *field, ServiceName &name)
{
    std::string text;
    if (fields.text(field, text, nameError)) {
        name = ServiceName(text);
    }
}

void readEndpoint(YamlMapping &fields, const char *field, Endpoint &endpoint, YamlMapping::TextCheck check = endpointError)
{
    std::string text;
    fields.require(field);
    if (fields.text(field, text, check)) {
        endpoint = *endpointFromText(text);
    }
}

void readListeners(YamlMapping fields, NodeSettings &settings)
{
    readEndpoint(fields, "callers", settings.listenCallers);
    readEndpoint(fields, "peers", settings.listenPeers);
    readEndpoint(fields, "control", settings.listenControl);
    readEndpoint(fields, "target", settings.listenTarget);
    readEndpoint(fields, "operations", settings.listenOperations);
    fields.reportUnknown();
}

void readLog(YamlMapping fields, NodeSettings &settings)
{
    std::vector<std::pair<std::string_view, std::string>> levels;
    for (const char *level : {"trace", "debug", "info", "warning", "error", "critical", "off"}) {
        levels.emplace_back(level, level);
    }
    fields.choice<std::string>("level", settings.logLevel, levels);
    fields.choice<LogFormat>("format", settings.logFormat, {{"text", LogFormat::Text}, {"json", LogFormat::Json}});
    fields.reportUnknown();
}

void readTimeline(YamlMapping fields, NodeSettings &settings)
{
    fields.number("records", settings.timelineRecords, 1, maximumTimelineRecords);
    fields.reportUnknown();
}

NodeSettings readSettings(YamlMapping &root)
{
    NodeSettings settings;
    readName(root, "node", settings.node);
    readName(root, "zone", settings.zone);
    readName(root, "region", settings.region);
    readEndpoint(root, "platform", settings.platform, platformError);
    readOptionalName(root, "service", settings.service);
    readOptionalName(root, "cell", settings.cell);
    root.number("tableRowBytes", settings.tableRowBytes, minimumTableRowBytes, maximumTableRowBytes);
    root.text("protocol", settings.protocol, nameError);
    root.duration("targetHeartbeat", settings.targetHeartbeat, std::chrono::milliseconds(10), std::chrono::minutes(1));
    root.duration("stopLimit", settings.stopLimit, std::chrono::seconds(1), std::chrono::hours(1));
    root.number("memoryBytes", settings.memoryBytes, minimumMemoryBytes, maximumMemoryBytes);
    root.number("descriptors", settings.descriptors, minimumDescriptors, maximumDescriptors);
    root.ratio("linkMegabits", settings.linkMegabits, 0, maximumLinkMegabits);
    if (root.has("services")) {
        settings.serviceDefaults = readServiceDefaults(root.mapping("services"));
    }
    root.require("listen");
    if (root.has("listen")) {
        readListeners(root.mapping("listen"), settings);
    }
    root.flag("firstStart", settings.firstStart);
    root.flag("pipelining", settings.pipelining);
    readLog(root.mapping("log"), settings);
    readTimeline(root.mapping("timeline"), settings);
    root.reportUnknown();
    return settings;
}

} // namespace

ParsedNodeSettings parseNodeSettings(std::string_view text)
{
    YamlReader reader(text);
    if (!reader.isReadable()) {
        return reader.errors();
    }
    NodeSettings settings = readSettings(reader.root());
    if (reader.hasErrors()) {
        return reader.errors();
    }
    return settings;
}

} // namespace nutmeghinge
