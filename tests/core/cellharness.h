#pragma once

#include "cell.h"
#include "fakeactivity.h"
#include "fakeplatform.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace nutmeghinge {

/**
 * Cells of several nodes on virtual time, with a network, clocks that drift, a
 * platform, and work that runs at the targets. Times are true time from 0.
 */
class CellHarness
{
public:
    struct Options {
        std::size_t nodes = 3;
        std::size_t zones = 3;
        std::uint32_t shards = 8;
        bool checksFence = true;
        Duration executionLimit = std::chrono::milliseconds(300);
        Duration holdLimit = std::chrono::seconds(20);
        std::uint64_t seed = 1;
        /** Work is started at random wherever it is admitted. */
        bool startsWork = false;
    };

    explicit CellHarness(const Options &options);

    /** Runs for the given true time. */
    void run(Duration length);
    /** Runs until the condition holds; the time it took, or nothing after the limit. */
    std::optional<Duration> runUntil(const std::function<bool()> &condition, Duration limit);

    // Faults.
    void kill(std::size_t node);
    /** Starts a new incarnation, after ending the present one. */
    void restart(std::size_t node);
    void pause(std::size_t node, Duration length);
    void cut(std::size_t a, std::size_t b, bool isCut);
    void isolate(std::size_t node, bool isCut);
    void healNetwork();
    void stop(std::size_t node);
    /** The node's target announces that it wants to end. */
    void drain(std::size_t node);
    std::string documentText(const std::string &leaving = {}) const;

    FakePlatform platform;
    /** Longest delay of a message; the shortest is a tenth of it. */
    Duration networkDelay = std::chrono::milliseconds(1);
    /** Messages lost, and messages delivered twice, of 1000. */
    unsigned lossPerMille = 0;
    unsigned duplicatePerMille = 0;

    /** Further delay of the messages from one node to another. */
    std::map<std::pair<std::size_t, std::size_t>, Duration> extraDelay;
    /** Nodes that cannot reach the platform. */
    std::set<std::size_t> cutFromPlatform;

    // What is seen.
    std::size_t size() const { return m_nodes.size(); }
    bool isUp(std::size_t node) const { return m_nodes[node].cell != nullptr; }
    bool isStopping(std::size_t node) const { return m_nodes[node].stopping; }
    const Cell &cell(std::size_t node) const { return *m_nodes[node].cell; }
    FakeActivity &activity(std::size_t node) { return *m_nodes[node].activity; }
    MonotonicTime clock(std::size_t node) const;
    bool admits(std::size_t node, std::uint32_t shard) const;
    /** Node that admits work on the shard; size() where none does. */
    std::size_t ownerOf(std::uint32_t shard) const;
    /** Every shard is served by just one node. */
    bool allServed() const;
    std::size_t shardsOf(std::size_t node) const;
    /** Node that acts as coordinator; size() where none does. */
    std::size_t coordinator() const;
    std::uint64_t messages() const { return m_messages; }
    Duration now() const { return m_now; }
    /** First breach of an invariant; empty where all held. */
    const std::string &breach() const { return m_breach; }

private:
    struct Node {
        std::unique_ptr<FakeActivity> activity;
        std::unique_ptr<Cell> cell;
        std::uint64_t incarnation = 0;
        Duration pausedUntil{0};
        Duration clockOffset{0};
        double clockRate = 1.0;
        bool draining = false;
        bool stopping = false;
        std::set<Fence> accepted;
    };
    struct Timer {
        Duration at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator>(const Timer &other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    void schedule(Duration delay, std::function<void()> action);
    void deliver(std::size_t node, std::uint64_t incarnation, EventBody body);
    void carryOut(std::size_t node, const Effects &effects);
    void carryOut(std::size_t node, const Effect &effect);
    void send(std::size_t from, const SendPeerMessage &message);
    void answerLater(std::size_t node, std::function<EventBody(bool down)> access);
    void tickLoop(std::size_t node, std::uint64_t incarnation);
    void announceLoop(std::size_t node, std::uint64_t incarnation);
    void announce(std::size_t node);
    void startWork(std::size_t node);
    /** Every shard has the same load. */
    void reportLoad(std::size_t node);
    void check();
    std::uint64_t random(std::uint64_t below);

    Options m_options;
    std::vector<Node> m_nodes;
    std::set<std::pair<std::size_t, std::size_t>> m_cut;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    std::mt19937_64 m_random;
    std::map<std::uint32_t, std::map<std::size_t, Duration>> m_work;
    Duration m_now{0};
    std::uint64_t m_order = 0;
    std::uint64_t m_messages = 0;
    std::string m_breach;
};

} // namespace nutmeghinge
