#include "timelinecollector.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

std::optional<std::uint64_t> optionalNumber(JsonReader &reader, const nlohmann::json &json, const char *field)
{
    return json.contains(field) ? std::optional(reader.number(json, field)) : std::nullopt;
}

TimelineEntry readEntry(JsonReader &reader, const nlohmann::json &json, const std::string &node)
{
    TimelineEntry entry;
    entry.node = node;
    entry.wall = reader.number(json, "wall");
    entry.counter = reader.number(json, "counter");
    entry.kind = reader.text(json, "kind");
    entry.detail = reader.text(json, "detail");
    entry.request = optionalNumber(reader, json, "request");
    entry.shard = optionalNumber(reader, json, "shard");
    entry.member = optionalNumber(reader, json, "member");
    entry.document = optionalNumber(reader, json, "document");
    if (json.contains("callerId")) {
        entry.callerId = reader.text(json, "callerId");
    }
    if (json.contains("fence")) {
        const nlohmann::json &fence = reader.object(json, "fence");
        entry.fence = std::to_string(reader.number(fence, "term")) + '.' + std::to_string(reader.number(fence, "sequence"));
    }
    return entry;
}

} // namespace

bool TimelineFilter::matches(const TimelineEntry &entry) const
{
    return (!shard || entry.shard == shard) && (!request || entry.request == request) && (!node || entry.node == *node);
}

TimelineCollector::TimelineCollector(std::size_t nodes, TimelineFilter filter)
    : m_filter(std::move(filter))
    , m_positions(nodes)
{
}

std::optional<JsonError> TimelineCollector::add(std::size_t node, std::string_view body)
{
    JsonReader reader;
    const nlohmann::json json = reader.parse(body);
    const std::string name = reader.text(json, "node");
    const std::uint64_t incarnation = reader.number(json, "incarnation");
    const std::uint64_t next = reader.number(json, "next");
    std::vector<TimelineEntry> entries;
    for (const nlohmann::json &record : reader.list(json, "records")) {
        entries.push_back(readEntry(reader, record, name));
    }
    if (reader.error()) {
        return JsonError{*reader.error()};
    }
    Position &position = m_positions[node];
    const bool restarted = position.next != 0 && position.incarnation != incarnation;
    position = {incarnation, restarted ? 0 : next};
    if (!restarted) {
        std::copy_if(entries.begin(), entries.end(), std::back_inserter(m_entries), [this](const TimelineEntry &entry) { return m_filter.matches(entry); });
    }
    return std::nullopt;
}

std::vector<TimelineEntry> TimelineCollector::takeEntries()
{
    std::stable_sort(m_entries.begin(), m_entries.end(), isEarlier);
    return std::exchange(m_entries, {});
}

} // namespace nutmeghinge
