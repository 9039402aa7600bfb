#pragma once

#include "record.h"
#include "wire.h"

#include <array>
#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace review {

constexpr std::size_t keyCount = 65536;

/**
 * Stand-in for the backend of a machine. Reports its status to the node beside it, holds the keys that the answers
 * name, and runs requests. The query of a request's path states its work and the size of its answer: ?work=MS&size=BYTES.
 */
class Backend
{
public:
    struct Options {
        std::string id;
        std::string service;
        std::string zone;
        Address address;
        /** Address of the node for status reports. */
        Address control;
        unsigned slots = 18;
        Milliseconds heartbeat{870};
        bool sharded = false;
        /** If set, an answer to a request with "spoil=1" in its query breaks off in the middle, as that of a faulty backend. */
        std::shared_ptr<std::atomic<bool>> faulty;
    };

    Backend(Options options, Record &record);
    bool start();
    const Options &options() const { return m_options; }

    /** Fences of the keys held now; 0 for a key that is not held. */
    std::vector<std::uint64_t> held();
    std::size_t heldCount();
    /** Times at which requests began to run. */
    std::vector<Clock::time_point> runTimes();
    /** Makes the next status report without sending it, as one that is delayed on its way. */
    Message delayedReport();
    /** Says by DELETE that the backend leaves, and reports no more. Returns whether the node has acknowledged it. */
    bool leave();

private:
    struct Range {
        std::uint32_t first = 0;
        std::uint32_t last = 0;
        std::uint64_t fence = 0;
    };

    void reportLoop();
    /** Sends a status report and applies the answer. Returns whether keys are still to be released. */
    bool report();
    Message reportRequest();
    nlohmann::json statusReport();
    bool applyAnswer(const Message &answer, Clock::time_point sentAt);
    void dropExpired();
    std::vector<Range> ranges();
    void serve(Connection connection);
    /** Returns the refusal of the request; empty if it may run. */
    std::optional<Message> refusalOf(const Message &request);
    bool run(const Message &request, Connection &connection);

    Options m_options;
    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_slotFree;
    unsigned m_running = 0;
    std::atomic<bool> m_leaving = false;
    std::vector<Clock::time_point> m_runTimes;
    std::uint64_t m_born = 0;
    std::uint64_t m_sequence = 0;
    std::vector<std::uint64_t> m_held = std::vector<std::uint64_t>(keyCount, 0);
    std::vector<std::uint64_t> m_highestFence = std::vector<std::uint64_t>(keyCount, 0);
    /** Keys that are to be released once no request runs on them. */
    std::vector<unsigned> m_runningOnKey = std::vector<unsigned>(keyCount, 0);
    std::vector<Range> m_released;
    Clock::time_point m_leaseEnd;
};

/** Value of a number in the query of a path. */
std::size_t numberInQuery(const std::string &path, const std::string &name, std::size_t otherwise);

} // namespace review
