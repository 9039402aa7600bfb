#include "cellrowcodec.h"

#include "membercodec.h"

#include <array>
#include <map>

namespace nutmeghinge {

namespace {

using nlohmann::json;

constexpr std::size_t ownershipFields = 5;
constexpr std::size_t maximumShards = 65536;
constexpr std::size_t crashFields = 4;
/** Left out if there are none. */
constexpr const char *suspectsField = "suspects";
/** Left out if all members vote. */
constexpr const char *nonVotingField = "nonVoting";
/** Left out unless several members change. */
constexpr const char *changeField = "change";

std::uint64_t millisecondsOf(WallTime time)
{
    return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

WallTime wallTimeOf(std::uint64_t milliseconds)
{
    return WallTime(std::chrono::milliseconds(static_cast<std::int64_t>(milliseconds)));
}

json toJson(const ShardOwnership &shard)
{
    return {static_cast<std::uint64_t>(shard.state), shard.owner.value(), shard.next.value(), shard.fence.term.value(), shard.fence.sequence};
}

json toJson(const std::vector<MemberSlot> &slots)
{
    json result = json::array();
    for (const MemberSlot slot : slots) {
        result.push_back(slot.value());
    }
    return result;
}

/** Writes the distinct entries to one field of the object, and for each entry its index among them to another. */
template <typename Entry>
void writeIndexed(json &to, const char *distinctField, const char *indexField, const std::vector<Entry> &entries)
{
    json distinct = json::array();
    json indexes = json::array();
    std::map<json, std::size_t> known;
    for (const Entry &entry : entries) {
        json value = toJson(entry);
        const auto [position, isNew] = known.emplace(value, distinct.size());
        if (isNew) {
            distinct.push_back(std::move(value));
        }
        indexes.push_back(position->second);
    }
    to[distinctField] = std::move(distinct);
    to[indexField] = std::move(indexes);
}

ShardOwnership ownershipOf(JsonReader &reader, const json &from)
{
    const bool complete = from.is_array() && from.size() == ownershipFields;
    reader.check(complete, "ownerships");
    if (!complete) {
        return {};
    }
    ShardOwnership shard;
    const auto lastState = static_cast<std::uint64_t>(ShardOwnership::State::Releasing);
    const std::uint64_t lastSlot = std::numeric_limits<std::uint32_t>::max();
    shard.state = static_cast<ShardOwnership::State>(reader.element(from[0], "state", lastState));
    shard.owner = MemberSlot(static_cast<std::uint32_t>(reader.element(from[1], "owner", lastSlot)));
    shard.next = MemberSlot(static_cast<std::uint32_t>(reader.element(from[2], "next", lastSlot)));
    shard.fence = {Term(reader.element(from[3], "term")), reader.element(from[4], "sequence")};
    return shard;
}

std::vector<MemberSlot> slotsOf(JsonReader &reader, const json &from)
{
    reader.check(from.is_array(), "slots");
    std::vector<MemberSlot> slots;
    if (from.is_array()) {
        for (const json &slot : from) {
            slots.emplace_back(static_cast<std::uint32_t>(reader.element(slot, "slot", std::numeric_limits<std::uint32_t>::max())));
        }
    }
    return slots;
}

template <typename Entry>
std::vector<Entry>
readIndexed(JsonReader &reader, const json &from, const char *distinctField, const char *indexField, Entry (*read)(JsonReader &, const json &))
{
    std::vector<Entry> distinct;
    for (const json &entry : reader.list(from, distinctField)) {
        distinct.push_back(read(reader, entry));
    }
    std::vector<Entry> entries;
    for (const json &element : reader.list(from, indexField)) {
        const std::uint64_t index = reader.element(element, indexField);
        reader.check(index < distinct.size(), indexField);
        if (reader.error()) {
            return {};
        }
        entries.push_back(distinct[index]);
    }
    return entries;
}

/** Run-length encodes the shards: each run of adjacent shards with equal ownership is a pair of the ownership and the length. */
json runsOf(const std::vector<ShardOwnership> &shards)
{
    json runs = json::array();
    const ShardOwnership *last = nullptr;
    for (const ShardOwnership &shard : shards) {
        if (last == nullptr || *last != shard) {
            runs.push_back({toJson(shard), 0});
            last = &shard;
        }
        json &length = runs.back().back();
        length = length.get<std::uint64_t>() + 1;
    }
    return runs;
}

std::vector<ShardOwnership> shardsOf(JsonReader &reader, const json &runs)
{
    std::vector<ShardOwnership> shards;
    for (const json &run : runs) {
        reader.check(run.is_array() && run.size() == 2, "runs");
        const ShardOwnership shard = reader.error() ? ShardOwnership() : ownershipOf(reader, run[0]);
        const std::uint64_t length = reader.error() ? 0 : reader.element(run[1], "length", maximumShards - shards.size());
        shards.insert(shards.end(), length, shard);
    }
    return shards;
}

json toJson(const OwnershipMap &map)
{
    json result = {{"term", map.version.term.value()}, {"sequence", map.version.sequence}, {"hotKeys", map.hotKeys}, {"sections", json::array()}};
    for (const ShardSection &section : map.sections) {
        result["sections"].push_back({{"service", section.service.value()}, {"first", section.first}, {"count", section.count}});
    }
    if (map.sections.empty()) {
        writeIndexed(result, "ownerships", "shards", map.shards);
    } else {
        result["runs"] = runsOf(map.shards);
    }
    return result;
}

OwnershipMap mapOf(JsonReader &reader, const json &from)
{
    OwnershipMap map;
    map.version = {Term(reader.number(from, "term")), reader.number(from, "sequence")};
    map.shards = from.is_object() && from.contains("runs") ? shardsOf(reader, reader.list(from, "runs"))
                                                           : readIndexed<ShardOwnership>(reader, from, "ownerships", "shards", ownershipOf);
    for (const json &hash : reader.list(from, "hotKeys")) {
        map.hotKeys.push_back(reader.element(hash, "hotKeys"));
    }
    for (const json &section : reader.list(from, "sections")) {
        map.sections.push_back({ServiceName(reader.text(section, "service")), reader.number32(section, "first"), reader.number32(section, "count")});
    }
    return map;
}

json toJson(const CrashSuspect &suspect)
{
    json crashes = json::array();
    for (const SuspectedCrash &crash : suspect.crashes) {
        crashes.push_back({crash.target.value(), crash.caller.value(), millisecondsOf(crash.at), millisecondsOf(crash.clearedAt)});
    }
    return {{"content", suspect.content.value()}, {"answeredAt", millisecondsOf(suspect.answeredAt)}, {"crashes", std::move(crashes)}};
}

CrashSuspect suspectOf(JsonReader &reader, const json &from)
{
    CrashSuspect suspect;
    const json bytes = reader.list(from, "content");
    std::array<std::uint8_t, 16> content{};
    reader.check(bytes.size() == content.size(), "content");
    for (std::size_t i = 0; !reader.error() && i < content.size(); ++i) {
        content[i] = static_cast<std::uint8_t>(reader.element(bytes[i], "content", std::numeric_limits<std::uint8_t>::max()));
    }
    suspect.content = RequestDigest(content);
    suspect.answeredAt = wallTimeOf(reader.number(from, "answeredAt"));
    for (const json &crash : reader.list(from, "crashes")) {
        reader.check(crash.is_array() && crash.size() == crashFields, "crashes");
        if (reader.error()) {
            return suspect;
        }
        suspect.crashes.push_back({TargetRun(reader.element(crash[0], "target")),
                                   CallerDigest(reader.element(crash[1], "caller")),
                                   wallTimeOf(reader.element(crash[2], "at")),
                                   wallTimeOf(reader.element(crash[3], "clearedAt"))});
    }
    return suspect;
}

} // namespace

std::string CellRowCodec::toText(const CellRow &row)
{
    json members = json::array();
    for (const Member &member : row.members) {
        members.push_back(MemberCodec::toJson(member));
    }
    json result = {{"service", row.service.value()},
                   {"revision", row.revision.value()},
                   {"nextSlot", row.nextSlot.value()},
                   {"members", std::move(members)},
                   {"former", json::array()},
                   {"map", toJson(row.map)},
                   {"mark", row.mark},
                   {"termFloor", row.termFloor.value()},
                   {"document", row.document.value()}};
    for (const auto &[slot, node] : row.former) {
        result["former"].push_back({{"slot", slot.value()}, {"node", node.value()}});
    }
    if (!row.suspects.empty()) {
        result[suspectsField] = json::array();
        for (const CrashSuspect &suspect : row.suspects) {
            result[suspectsField].push_back(toJson(suspect));
        }
    }
    if (!row.nonVoting.empty()) {
        result[nonVotingField] = toJson(row.nonVoting);
    }
    if (row.change) {
        result[changeField] = {{"formerNonVoting", toJson(row.change->formerNonVoting)}, {"departing", toJson(row.change->departing)}};
    }
    writeIndexed(result, "successorLists", "successors", row.successors);
    return jsonToText(result);
}

std::variant<CellRow, JsonError> CellRowCodec::fromText(std::string_view text)
{
    JsonReader reader;
    const json from = reader.parse(text);
    CellRow row;
    row.service = ServiceName(reader.text(from, "service"));
    row.revision = CellRevision(reader.number(from, "revision"));
    row.nextSlot = MemberSlot(reader.number32(from, "nextSlot"));
    for (const json &member : reader.list(from, "members")) {
        row.members.push_back(MemberCodec::fromJson(reader, member));
    }
    for (const json &former : reader.list(from, "former")) {
        row.former.emplace_back(reader.number32(former, "slot"), reader.text(former, "node"));
    }
    row.map = mapOf(reader, reader.object(from, "map"));
    row.successors = readIndexed<std::vector<MemberSlot>>(reader, from, "successorLists", "successors", slotsOf);
    if (from.is_object() && from.contains(suspectsField)) {
        for (const json &suspect : reader.list(from, suspectsField)) {
            row.suspects.push_back(suspectOf(reader, suspect));
        }
    }
    if (from.is_object() && from.contains(nonVotingField)) {
        row.nonVoting = slotsOf(reader, from[nonVotingField]);
    }
    if (from.is_object() && from.contains(changeField)) {
        const json change = reader.object(from, changeField);
        row.change = MemberChange{slotsOf(reader, reader.list(change, "formerNonVoting")), slotsOf(reader, reader.list(change, "departing"))};
    }
    row.mark = reader.number(from, "mark");
    row.termFloor = Term(reader.number(from, "termFloor"));
    row.document = DocumentRevision(reader.number(from, "document"));
    if (reader.error()) {
        return JsonError{*reader.error()};
    }
    return row;
}

} // namespace nutmeghinge
