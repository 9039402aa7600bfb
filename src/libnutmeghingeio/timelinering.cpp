#include "timelinering.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace nutmeghinge {

namespace {

nlohmann::json toJsonObject(const TimelineRecord &record)
{
    nlohmann::json object{
        {"wall", record.time.wall.time_since_epoch().count()},
        {"counter", record.time.counter},
        {"kind", nameOf(record.kind)},
        {"detail", record.detail},
    };
    if (record.request) {
        object["request"] = record.request->value();
        if (!record.callerId.empty()) {
            object["callerId"] = record.callerId;
        }
    }
    if (record.shard) {
        object["shard"] = record.shard->value();
    }
    if (record.member) {
        object["member"] = record.member->value();
    }
    if (record.fence) {
        object["fence"] = {{"term", record.fence->term.value()}, {"sequence", record.fence->sequence}};
    }
    if (record.document) {
        object["document"] = record.document->value();
    }
    if (record.longestDelay) {
        object["longestDelayMs"] = std::chrono::duration_cast<std::chrono::milliseconds>(*record.longestDelay).count();
    }
    return object;
}

} // namespace

TimelineRing::TimelineRing(std::size_t capacity)
    : m_capacity(capacity)
{
}

void TimelineRing::add(TimelineRecord record)
{
    std::deque<Entry> &ring = isAboutRequest(record.kind) ? m_requests : m_others;
    ring.push_back(Entry{++m_lastNumber, std::move(record)});
    if (ring.size() > m_capacity) {
        ring.pop_front();
    }
}

std::vector<TimelineRecord> TimelineRing::recordsOf(RequestId request) const
{
    std::vector<TimelineRecord> records;
    for (const Entry &entry : m_requests) {
        if (entry.record.request == request) {
            records.push_back(entry.record);
        }
    }
    return records;
}

std::string TimelineRing::toJson(std::uint64_t since, const std::string &node, std::uint64_t incarnation) const
{
    std::vector<const Entry *> entries;
    for (const std::deque<Entry> *ring : {&m_requests, &m_others}) {
        for (const Entry &entry : *ring) {
            if (entry.number > since) {
                entries.push_back(&entry);
            }
        }
    }
    std::sort(entries.begin(), entries.end(), [](const Entry *left, const Entry *right) { return left->number < right->number; });
    nlohmann::json records = nlohmann::json::array();
    for (const Entry *entry : entries) {
        records.push_back(toJsonObject(entry->record));
    }
    const nlohmann::json object{{"node", node}, {"incarnation", incarnation}, {"records", std::move(records)}, {"next", m_lastNumber}};
    return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace nutmeghinge
