#include "logreader.h"

#include "fencetext.h"
#include "jsonreader.h"
#include "recordline.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

template <typename Id>
std::optional<std::uint64_t> numberOf(const std::optional<Id> &id)
{
    return id ? std::optional<std::uint64_t>(id->value()) : std::nullopt;
}

TimelineEntry toEntry(const TimelineRecord &record, std::string node)
{
    TimelineEntry entry;
    entry.wall = static_cast<std::uint64_t>(record.time.wall.time_since_epoch().count());
    entry.counter = record.time.counter;
    entry.node = std::move(node);
    entry.kind = nameOf(record.kind);
    entry.detail = record.detail;
    entry.request = numberOf(record.request);
    entry.callerId = record.callerId;
    entry.shard = numberOf(record.shard);
    entry.member = numberOf(record.member);
    entry.document = numberOf(record.document);
    if (record.fence) {
        entry.fence = fenceToText(*record.fence);
    }
    return entry;
}

} // namespace

void LogReader::add(std::istream &log)
{
    std::string line;
    while (std::getline(log, line)) {
        addLine(line);
    }
}

void LogReader::addLine(const std::string &line)
{
    const std::size_t start = line.find('{');
    if (start == std::string::npos) {
        return;
    }
    JsonReader reader;
    const nlohmann::json object = reader.parse(std::string_view(line).substr(start));
    if (reader.error()) {
        ++m_unreadable;
        return;
    }
    const std::string node = reader.text(object, "node");
    const std::string message = reader.text(object, "message");
    if (reader.error()) {
        return;
    }
    ++m_nodeLines;
    if (const std::optional<TimelineRecord> record = recordFromLine(message)) {
        m_entries.push_back(toEntry(*record, node));
    }
}

std::vector<TimelineEntry> LogReader::takeEntries()
{
    std::stable_sort(m_entries.begin(), m_entries.end(), isEarlier);
    return std::exchange(m_entries, {});
}

} // namespace nutmeghinge
