#include "nodestatus.h"

#include "endpointtext.h"

namespace nutmeghinge {

namespace {

constexpr std::uint64_t maxShards = 65536;

void readMap(JsonReader &reader, const nlohmann::json &json, NodeStatus &status)
{
    const nlohmann::json &map = reader.object(json, "map");
    status.mapVersion = {reader.number(map, "term"), reader.number(map, "sequence")};
    status.shards = static_cast<std::uint32_t>(reader.number(map, "shards", maxShards));
    for (const nlohmann::json &shard : reader.list(json, "serving")) {
        status.serving.push_back(static_cast<std::uint32_t>(reader.element(shard, "serving", maxShards)));
    }
}

void readRequests(JsonReader &reader, const nlohmann::json &json, NodeStatus &status)
{
    const nlohmann::json &requests = reader.object(json, "requests");
    status.inFlight = reader.number(requests, "inFlight");
    status.queued = reader.number(requests, "queued");
    status.answered = reader.number(requests, "answered");
    status.notRun = reader.number(requests, "notRun");
    status.unknown = reader.number(requests, "unknown");
}

/** Reads the suspects; a node of an earlier version reports none. */
void readSuspects(JsonReader &reader, const nlohmann::json &json, NodeStatus &status)
{
    if (!json.is_object() || !json.contains("suspects")) {
        return;
    }
    for (const nlohmann::json &suspect : reader.list(json, "suspects")) {
        status.suspects.push_back({reader.text(suspect, "request"), reader.number(suspect, "crashes"), reader.number(suspect, "refusedForMs")});
    }
}

void readMembers(JsonReader &reader, const nlohmann::json &json, NodeStatus &status)
{
    for (const nlohmann::json &member : reader.list(json, "members")) {
        const std::optional<Endpoint> endpoint = endpointFromText(reader.text(member, "operations"));
        reader.check(endpoint.has_value(), "operations");
        if (endpoint && !endpoint->isEmpty()) {
            status.members.push_back(*endpoint);
        }
    }
}

} // namespace

ParsedNodeStatus parseNodeStatus(std::string_view text)
{
    JsonReader reader;
    const nlohmann::json json = reader.parse(text);
    NodeStatus status;
    status.node = reader.text(json, "node");
    status.zone = reader.text(json, "zone");
    status.service = reader.text(json, "service");
    status.slot = reader.number(json, "slot");
    status.isCoordinator = reader.flag(json, "isCoordinator");
    status.document = reader.number(json, "document");
    readMap(reader, json, status);
    readRequests(reader, json, status);
    readSuspects(reader, json, status);
    readMembers(reader, json, status);
    if (reader.error()) {
        return JsonError{*reader.error()};
    }
    return status;
}

} // namespace nutmeghinge
