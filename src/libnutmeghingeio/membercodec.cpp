#include "membercodec.h"

#include "endpointtext.h"

namespace nutmeghinge {

namespace {

Endpoint endpointOf(JsonReader &reader, const nlohmann::json &json, const char *field)
{
    const std::optional<Endpoint> endpoint = endpointFromText(reader.text(json, field));
    reader.check(endpoint.has_value(), field);
    return endpoint.value_or(Endpoint());
}

} // namespace

nlohmann::json MemberCodec::toJson(const Member &member)
{
    return {{"slot", member.slot.value()},
            {"node", member.node.value()},
            {"incarnation", member.incarnation.value()},
            {"service", member.service.value()},
            {"target", member.target.value()},
            {"zone", member.zone.value()},
            {"region", member.region.value()},
            {"peer", endpointToText(member.peerEndpoint)},
            {"control", endpointToText(member.controlEndpoint)},
            {"operations", endpointToText(member.operationsEndpoint)},
            {"slots", member.slots},
            {"link", member.linkMegabits},
            {"leaving", member.leaving},
            {"resigned", member.resigned}};
}

Member MemberCodec::fromJson(JsonReader &reader, const nlohmann::json &json)
{
    Member member;
    member.slot = MemberSlot(reader.number32(json, "slot"));
    member.node = NodeName(reader.text(json, "node"));
    member.incarnation = Incarnation(reader.number(json, "incarnation"));
    member.service = ServiceName(reader.text(json, "service"));
    member.target = TargetName(reader.text(json, "target"));
    member.zone = ZoneName(reader.text(json, "zone"));
    member.region = RegionName(reader.text(json, "region"));
    member.peerEndpoint = endpointOf(reader, json, "peer");
    member.controlEndpoint = endpointOf(reader, json, "control");
    member.operationsEndpoint = endpointOf(reader, json, "operations");
    member.slots = reader.number32(json, "slots");
    member.linkMegabits = json.is_object() && json.contains("link") ? reader.number32(json, "link") : 0;
    member.leaving = reader.flag(json, "leaving");
    member.resigned = json.is_object() && json.contains("resigned") && reader.flag(json, "resigned");
    return member;
}

std::string MemberCodec::rowToText(const MemberRow &row)
{
    nlohmann::json json = toJson(row.member);
    json["departed"] = nlohmann::json::array();
    for (const TargetInstance &target : row.departed) {
        json["departed"].push_back({{"target", target.name.value()}, {"incarnation", target.incarnation}});
    }
    return jsonToText(json);
}

std::variant<MemberRow, JsonError> MemberCodec::rowFromText(std::string_view text)
{
    JsonReader reader;
    const nlohmann::json json = reader.parse(text);
    MemberRow row;
    row.member = fromJson(reader, json);
    // Nodes of earlier versions write no departures.
    if (json.is_object() && json.contains("departed")) {
        for (const nlohmann::json &target : reader.list(json, "departed")) {
            row.departed.push_back({TargetName(reader.text(target, "target")), reader.number(target, "incarnation")});
        }
    }
    if (reader.error()) {
        return JsonError{*reader.error()};
    }
    return row;
}

} // namespace nutmeghinge
