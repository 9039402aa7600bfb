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
 * Simulates a cell of several nodes in virtual time, with a network, drifting
 * clocks, a platform, and requests that run at the targets. All times are
 * simulated time from 0, not a node's clock.
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
        /** Whether nodes that admit a shard start work on it at random. */
        bool startsWork = false;
    };

    explicit CellHarness(const Options &options);

    /** Runs for the given simulated time. */
    void run(Duration length);
    /** Runs until the condition holds. Returns the elapsed time, or nothing if the limit or an invariant violation was reached first. */
    std::optional<Duration> runUntil(const std::function<bool()> &condition, Duration limit);

    // Fault injection and control.
    void kill(std::size_t node);
    /** Kills the node and starts a new incarnation of it. */
    void restart(std::size_t node);
    void pause(std::size_t node, Duration length);
    void cut(std::size_t a, std::size_t b, bool isCut);
    void isolate(std::size_t node, bool isCut);
    void healNetwork();
    void stop(std::size_t node);
    /** Makes the node's target announce that it is draining. */
    void drain(std::size_t node);
    /** Returns the text of the service's document; if a target is named, the document makes it leave at once. */
    std::string documentText(const std::string &leaving = {}) const;

    FakePlatform platform;
    /** Maximum delay of a message. The minimum is a tenth of it. */
    Duration networkDelay = std::chrono::milliseconds(1);
    /** Number of messages per 1000 that are lost. */
    unsigned lossPerMille = 0;
    /** Number of messages per 1000 that are delivered twice. */
    unsigned duplicatePerMille = 0;

    /** Additional delay of messages from one node to another. */
    std::map<std::pair<std::size_t, std::size_t>, Duration> extraDelay;
    /** Nodes that cannot reach the platform. */
    std::set<std::size_t> cutFromPlatform;

    // Observed state.
    std::size_t size() const { return m_nodes.size(); }
    bool isUp(std::size_t node) const { return m_nodes[node].cell != nullptr; }
    bool isStopping(std::size_t node) const { return m_nodes[node].stopping; }
    const Cell &cell(std::size_t node) const { return *m_nodes[node].cell; }
    FakeActivity &activity(std::size_t node) { return *m_nodes[node].activity; }
    MonotonicTime clock(std::size_t node) const;
    bool admits(std::size_t node, std::uint32_t shard) const;
    /** Returns the first node that admits work on the shard, or size() if none does. */
    std::size_t ownerOf(std::uint32_t shard) const;
    /** Returns whether each shard is admitted by some node. */
    bool allServed() const;
    std::size_t shardsOf(std::size_t node) const;
    /** Returns the node that acts as coordinator, or size() if none does. */
    std::size_t coordinator() const;
    std::uint64_t messages() const { return m_messages; }
    Duration now() const { return m_now; }
    /** Returns a description of the first invariant violation; empty if there was none. */
    const std::string &violation() const { return m_violation; }

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
    void execute(std::size_t node, const Effects &effects);
    void execute(std::size_t node, const Effect &effect);
    void send(std::size_t from, const SendPeerMessage &message);
    void answerAfterDelay(std::size_t node, std::function<EventBody(bool down)> access);
    void tickLoop(std::size_t node, std::uint64_t incarnation);
    void announceLoop(std::size_t node, std::uint64_t incarnation);
    void announce(std::size_t node);
    void startWork(std::size_t node);
    /** Sets the node's load report to the same load for each shard that it admits. */
    void reportLoad(std::size_t node);
    void checkInvariants();
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
    std::string m_violation;
};

} // namespace nutmeghinge
