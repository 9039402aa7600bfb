#pragma once

#include "effects.h"
#include "events.h"
#include "membershipstate.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace nutmeghinge {

class LinkTraffic;
struct RequestCounters;

/** Counters kept by the adapters, which the reducer does not know. */
struct AdapterCounters {
    std::uint64_t controlMessages = 0;
    std::uint64_t controlBytes = 0;
    std::uint64_t refusedInputs = 0;
    std::size_t callerConnections = 0;
    std::uint64_t clientMemoryBytes = 0;
    std::uint64_t clientMemoryLimitBytes = 0;
    std::uint64_t clientMemoryRefusals = 0;
    std::uint64_t connections = 0;
    std::uint64_t connectionLimit = 0;
    std::uint64_t connectionsClosedForRoom = 0;
    /** Size of the largest value written to the platform's table, in bytes as sent; 0 if it is not counted. */
    std::size_t largestRowBytes = 0;
    MembershipState membership;
    /** Nodes that the cell does not admit because it is full, as its coordinator knows them. */
    std::size_t nodesWithoutRoom = 0;
    /** Null if it is not counted. */
    const LinkTraffic *traffic = nullptr;
    std::uint64_t cutAnswers = 0;
    /** Longest time by which events were handled late in the last seconds. */
    Duration recentLag{0};
    std::uint64_t lateEvents = 0;
};

/** State of the document in force when the metrics are read. */
struct DocumentState {
    DocumentRevision revision;
    /** Time since it was last known to be the newest; empty if it never was. */
    std::optional<Duration> age;
};

/**
 * Collects the metrics of one node from its events and effects, and exports them
 * in the Prometheus text format. Owned by the Node.
 */
class NodeMetrics
{
public:
    NodeMetrics();
    ~NodeMetrics();
    NodeMetrics(const NodeMetrics &) = delete;
    NodeMetrics &operator=(const NodeMetrics &) = delete;

    void observeEvent(const Event &event);
    void observeEffect(const Effect &effect, MonotonicTime now);
    /** Records the time from the start of an answer until the system has taken its last byte. */
    void observeDelivery(Duration duration);
    /** Returns the text for /metrics. Times are in seconds. */
    std::string toText(const RequestCounters &requests, const DocumentState &documents, const AdapterCounters &adapters) const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace nutmeghinge
