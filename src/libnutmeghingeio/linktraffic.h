#pragma once

#include "units.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace nutmeghinge {

/** What a connection of the process is for. */
enum class ConnectionUse : std::uint8_t {
    /** Requests of callers. */
    Callers,
    /** Requests that nodes pass on to each other, in both directions. */
    Peers,
    /** Control messages between nodes. */
    Control,
    /** Calls to the platform. */
    Platform,
    /** Calls to the target, which do not leave the VM. */
    Target,
};

/** Bytes of connections since the start of the process. */
struct ByteCounts {
    /** Bytes that were passed to the system, or wait to be. */
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    /** Bytes that the system has not taken yet because the connection does not take more. */
    std::uint64_t waiting = 0;
};

/** An answer that was not sent to the client completely before its connection closed. */
struct CutAnswer {
    ConnectionUse use = ConnectionUse::Callers;
    std::uint64_t bytes = 0;
    std::uint64_t unsentBytes = 0;
    /** Time since the answer began. */
    Duration age{0};
};

/** What was lost with a connection that the process, not its client, ended. */
enum class LostRequest : std::uint8_t {
    /** A request was read completely, and no byte of its answer was sent. */
    Unanswered,
    /** The answer to a request was not sent completely. */
    AnswerCut,
    /** A request was read in part. */
    Unfinished,
    /** Bytes that followed the last request to be answered were read and thrown away. */
    Discarded,
};

/** A connection that the process ended although its client still waited for something. */
struct EndedConnection {
    ConnectionUse use = ConnectionUse::Callers;
    LostRequest lost = LostRequest::Unanswered;
    /** Bytes that were read of a request that is not answered. */
    std::uint64_t bytes = 0;
    Duration sinceLastByte{0};
    /** The listener was shutting down, or had announced that it will. */
    bool stopping = false;
};

/** Counts what the process sends and receives, by the use of its connections. Outlives all of them. */
class LinkTraffic
{
public:
    static constexpr std::size_t uses = 5;
    static constexpr std::size_t lostRequestKinds = 4;

    using DeliveredFunction = std::function<void(Duration)>;
    using CutFunction = std::function<void(const CutAnswer &)>;
    using EndedFunction = std::function<void(const EndedConnection &)>;

    LinkTraffic() = default;
    LinkTraffic(const LinkTraffic &) = delete;
    LinkTraffic &operator=(const LinkTraffic &) = delete;

    ByteCounts &of(ConnectionUse use) { return m_counts[static_cast<std::size_t>(use)]; }
    const ByteCounts &of(ConnectionUse use) const { return m_counts[static_cast<std::size_t>(use)]; }
    /** Returns the sum for all connections that may leave the VM. */
    ByteCounts total() const;

    /** Sets the function that is called with the time from the start of an answer until the system has taken its last byte. */
    void setDeliveredFunction(DeliveredFunction function) { m_delivered = std::move(function); }
    /** Sets the function that is called for each answer that is cut. */
    void setCutFunction(CutFunction function) { m_cut = std::move(function); }
    void answerDelivered(Duration duration) const;
    void answerCut(const CutAnswer &answer) const;
    /** Sets the function that is called for each connection that the process ended on a request. */
    void setEndedFunction(EndedFunction function) { m_ended = std::move(function); }
    void connectionEnded(const EndedConnection &connection);
    /** Returns the number of connections that the process ended so. */
    std::uint64_t endedConnections(LostRequest lost) const { return m_endedConnections[static_cast<std::size_t>(lost)]; }

private:
    std::array<ByteCounts, uses> m_counts;
    DeliveredFunction m_delivered;
    CutFunction m_cut;
    EndedFunction m_ended;
    std::array<std::uint64_t, lostRequestKinds> m_endedConnections{};
};

/** Returns the name of the use in metrics and log lines. */
const char *nameOf(ConnectionUse use);
const char *nameOf(LostRequest lost);

} // namespace nutmeghinge
