#include "deduplicationmemory.h"

#include "shardof.h"

#include <cassert>

namespace nutmeghinge {

void DeduplicationMemory::setBounds(std::size_t entries, Duration window)
{
    m_maximumEntries = entries;
    m_window = window;
}

void DeduplicationMemory::expire(MonotonicTime now)
{
    while (!m_finished.empty() && now - m_finished.begin()->first > m_window) {
        erase(m_entries.find(m_finished.begin()->second));
    }
}

DeduplicationMemory::Result DeduplicationMemory::find(const Request &request) const
{
    const auto position = m_entries.find(request.deduplicationKey);
    if (position == m_entries.end()) {
        return Absent{};
    }
    const Entry &entry = position->second;
    if (entry.fingerprint != 0 && entry.fingerprint != request.fingerprint) {
        return KeyReused{};
    }
    switch (entry.state) {
    case State::Running:
        return Running{entry.first};
    case State::Answered:
        return Answered{&entry.answer};
    case State::AnswerNotKept:
        return AnswerNotKept{};
    case State::Unknown:
        break;
    }
    return Unknown{};
}

bool DeduplicationMemory::isFirst(const Request &request) const
{
    const auto position = m_entries.find(request.deduplicationKey);
    return position != m_entries.end() && position->second.state == State::Running && position->second.first == request.id;
}

void DeduplicationMemory::begin(const Request &request)
{
    Entry entry;
    entry.first = request.id;
    entry.fingerprint = request.fingerprint;
    entry.keyHash = request.keyHash;
    const bool inserted = m_entries.try_emplace(request.deduplicationKey, std::move(entry)).second;
    assert(inserted);
    evict();
}

void DeduplicationMemory::forget(const Request &request)
{
    m_entries.erase(request.deduplicationKey);
}

void DeduplicationMemory::finishAnswered(const Request &request, std::optional<StoredAnswer> answer, MonotonicTime now)
{
    if (answer) {
        finish(request.deduplicationKey, State::Answered, std::move(*answer), now);
    } else {
        finish(request.deduplicationKey, State::AnswerNotKept, {}, now);
    }
}

void DeduplicationMemory::finishUnknown(const Request &request, MonotonicTime now)
{
    finish(request.deduplicationKey, State::Unknown, {}, now);
}

std::vector<DeduplicationEntry>
DeduplicationMemory::exportEntries(ShardIndex shard, const std::function<bool(std::uint64_t)> &belongsToShard, MonotonicTime now) const
{
    std::vector<DeduplicationEntry> result;
    for (const auto &[finishedAt, key] : m_finished) {
        const Entry &entry = m_entries.at(key);
        if (!belongsToShard(entry.keyHash) || now - finishedAt > m_window) {
            continue;
        }
        DeduplicationEntry copy;
        copy.shard = shard;
        copy.key = key;
        copy.fingerprint = entry.fingerprint;
        copy.age = now - finishedAt;
        if (entry.state == State::Answered) {
            copy.answer = entry.answer;
        }
        result.push_back(std::move(copy));
    }
    return result;
}

void DeduplicationMemory::importEntry(const DeduplicationEntry &imported, MonotonicTime now)
{
    const auto known = m_entries.find(imported.key);
    if (known != m_entries.end()) {
        if (known->second.state != State::Unknown || !imported.answer) {
            return;
        }
        erase(known);
    }
    Entry entry;
    entry.state = imported.answer ? State::Answered : State::Unknown;
    entry.fingerprint = imported.fingerprint;
    entry.keyHash = hashOfKey(std::string_view(imported.key).substr(0, imported.key.find('\n')));
    entry.answer = imported.answer.value_or(StoredAnswer());
    entry.finishedAt = now - imported.age;
    addFinished(imported.key, std::move(entry));
    evict();
}

void DeduplicationMemory::finish(const std::string &key, State state, StoredAnswer answer, MonotonicTime now)
{
    const auto position = m_entries.find(key);
    assert(position != m_entries.end() && position->second.state == State::Running);
    position->second.state = state;
    position->second.answer = std::move(answer);
    position->second.finishedAt = now;
    m_finished.emplace(now, key);
    evict();
}

void DeduplicationMemory::addFinished(const std::string &key, Entry entry)
{
    m_finished.emplace(entry.finishedAt, key);
    m_entries.emplace(key, std::move(entry));
}

void DeduplicationMemory::erase(Entries::iterator position)
{
    auto [first, last] = m_finished.equal_range(position->second.finishedAt);
    while (first != last && first->second != position->first) {
        ++first;
    }
    assert(first != last);
    m_finished.erase(first);
    m_entries.erase(position);
}

void DeduplicationMemory::evict()
{
    while (m_entries.size() > m_maximumEntries && !m_finished.empty()) {
        erase(m_entries.find(m_finished.begin()->second));
        ++m_evictions;
    }
}

} // namespace nutmeghinge
