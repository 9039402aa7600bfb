#pragma once

#include "deduplicationentry.h"
#include "request.h"

#include <functional>
#include <map>
#include <unordered_map>
#include <variant>

namespace nutmeghinge {

/**
 * Stores the state of non-idempotent requests by Idempotency-Key, so that a
 * repeated request is not run again. Bounded by number and age of the entries: a
 * request that is repeated after its entry was removed runs as a new request.
 */
class DeduplicationMemory
{
public:
    /** The key has no entry. */
    struct Absent {
    };
    /** The first request with the key is running. */
    struct Running {
        RequestId first;
    };
    /** The first request was answered. The answer is owned by the memory and valid until its next change. */
    struct Answered {
        const StoredAnswer *answer = nullptr;
    };
    /** The outcome of the first request is unknown: it may have run. */
    struct Unknown {
    };
    /** The first request was answered, but its answer was too large to store. */
    struct AnswerNotKept {
    };
    /** The key was used for a request with another method, path or body size. */
    struct KeyReused {
    };
    using Result = std::variant<Absent, Running, Answered, Unknown, AnswerNotKept, KeyReused>;

    /** Sets the maximum number of entries and the maximum age of a finished entry. Removes no entries by itself. */
    void setBounds(std::size_t entries, Duration window);
    /** Removes finished entries that are older than the window. */
    void expire(MonotonicTime now);
    /** Returns the state of the first request with the same key. */
    Result find(const Request &request) const;
    /** Returns whether the request is the running one of its key. */
    bool isFirst(const Request &request) const;

    /** Adds a running entry for a request that is sent to the target. Its key must not have an entry. */
    void begin(const Request &request);
    /** Removes the entry of a running request that did not run. */
    void forget(const Request &request);
    /** Finishes the entry of a running request that was answered; pass no answer if it was too large to store. */
    void finishAnswered(const Request &request, std::optional<StoredAnswer> answer, MonotonicTime now);
    /** Finishes the entry of a running request whose outcome is unknown. */
    void finishUnknown(const Request &request, MonotonicTime now);

    /** Returns the finished entries that are within the window and for whose key hash belongsToShard returns true. */
    std::vector<DeduplicationEntry> exportEntries(ShardIndex shard, const std::function<bool(std::uint64_t)> &belongsToShard, MonotonicTime now) const;
    /** Adds an entry of another node. Only replaces an entry with an unknown outcome, and only by one with an answer. */
    void importEntry(const DeduplicationEntry &entry, MonotonicTime now);

    std::size_t size() const { return m_entries.size(); }
    /** Returns how many finished entries were removed to stay within the maximum number. */
    std::uint64_t evictions() const { return m_evictions; }

private:
    enum class State : std::uint8_t {
        Running,
        Answered,
        Unknown,
        AnswerNotKept,
    };
    struct Entry {
        State state = State::Running;
        /** First request with the key. */
        RequestId first;
        /** Hash of method, path and body size; 0 if unknown. */
        std::uint64_t fingerprint = 0;
        std::uint64_t keyHash = 0;
        StoredAnswer answer;
        MonotonicTime finishedAt;
    };
    using Entries = std::unordered_map<std::string, Entry>;

    void finish(const std::string &key, State state, StoredAnswer answer, MonotonicTime now);
    void addFinished(const std::string &key, Entry entry);
    void erase(Entries::iterator position);
    void evict();

    /** Maximum number of entries. */
    std::size_t m_maximumEntries = 0;
    /** Maximum age of a finished entry. */
    Duration m_window{0};
    Entries m_entries;
    /** Keys of the finished entries by the time at which they finished. */
    std::multimap<MonotonicTime, std::string> m_finished;
    std::uint64_t m_evictions = 0;
};

} // namespace nutmeghinge
