#pragma once

#include "deduplicationentry.h"
#include "request.h"

#include <functional>
#include <map>
#include <unordered_map>
#include <variant>

namespace nutmeghinge {

/**
 * Remembers non-idempotent requests by their Idempotency-Key, so that a repeat
 * is not run again. Bounded by number and age: past either bound a repeat is
 * run as a new request.
 */
class DeduplicationMemory
{
public:
    /** The key is not in memory. */
    struct Absent {
    };
    /** The first request of the key runs. */
    struct Running {
        RequestId first;
    };
    /** The first request was answered; the answer holds until the next change. */
    struct Answered {
        const StoredAnswer *answer = nullptr;
    };
    /** The first request may have run. */
    struct Unknown {
    };
    /** The first request was answered, and its answer was too large to keep. */
    struct AnswerNotKept {
    };
    /** The key was used for another method, path or size of the body. */
    struct OtherRequest {
    };
    using Result = std::variant<Absent, Running, Answered, Unknown, AnswerNotKept, OtherRequest>;

    void setBounds(std::size_t entries, Duration window);
    /** Forgets what is older than the window. */
    void expire(MonotonicTime now);
    Result find(const Request &request) const;
    /** The request is the running one of its key. */
    bool isFirst(const Request &request) const;

    /** The request is sent to the target. Its key must be absent. */
    void begin(const Request &request);
    /** The running request was not run: its key is forgotten. */
    void forget(const Request &request);
    void finishAnswered(const Request &request, std::optional<StoredAnswer> answer, MonotonicTime now);
    void finishUnknown(const Request &request, MonotonicTime now);

    /** Finished entries for whose key hash the function is true. */
    std::vector<DeduplicationEntry> exported(ShardIndex shard, const std::function<bool(std::uint64_t)> &isOfShard, MonotonicTime now) const;
    /** Running entries and stored answers are never replaced. */
    void import(const DeduplicationEntry &entry, MonotonicTime now);

    std::size_t size() const { return m_entries.size(); }
    /** Finished entries that were dropped to keep to the bound on their number. */
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
        RequestId first;
        /** 0: not known. */
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

    std::size_t m_bound = 0;
    Duration m_window{0};
    Entries m_entries;
    /** Finished entries by the time at which they ended. */
    std::multimap<MonotonicTime, std::string> m_finished;
    std::uint64_t m_evictions = 0;
};

} // namespace nutmeghinge
