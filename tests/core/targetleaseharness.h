#pragma once

#include "documentformat.h"
#include "fakedocumentfeed.h"
#include "fakeplatform.h"
#include "reducer.h"

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace nutmeghinge {

/**
 * Simulates, on virtual time, the nodes of one cell and their targets, which hold
 * their keys by target leases. The clocks of the nodes run up to 2 % apart. After
 * every step, checks from the state of the targets alone that no two targets hold
 * the same key, and that each new holder of a key has a higher fence.
 */
class TargetLeaseHarness
{
public:
    static constexpr std::uint32_t shards = 32;
    static constexpr Duration normalPlatformDelay = std::chrono::milliseconds(2);
    static constexpr Duration heartbeat = std::chrono::milliseconds(1000);

    /** Hold limit of the document; as on the users' platform. */
    static constexpr Duration shortHoldLimit = std::chrono::seconds(12);

    /** The last nodes, as many as given, have targets of a service without keys. linkMegabits: bandwidth that each node knows of its VM's link. */
    TargetLeaseHarness(std::size_t nodes,
                       std::uint64_t seed,
                       std::size_t nodesWithoutKeys = 0,
                       Timings timings = Timings::forHeartbeatsOf(heartbeat),
                       Duration holdLimit = shortHoldLimit,
                       std::uint32_t linkMegabits = 0);
    ~TargetLeaseHarness();

    /** Advances the virtual time; stops early at a violation. */
    void run(Duration length);
    /** Runs until all keys are held and returns the time that took; empty if it exceeds the limit. */
    std::optional<Duration> runUntilAllHeld(Duration limit);

    void killNode(std::size_t node);
    void startNode(std::size_t node);
    /** Ends the VM of the node and of its target for good, if it still runs, and starts another one with a new name in its place. */
    void replaceVm(std::size_t node);
    /** Requests a planned stop of the node; the test kills it when it would have ended. */
    void stopNode(std::size_t node);
    /** Tells the stopping node that all connections of callers and peers are closed. */
    void closeConnections(std::size_t node);
    /** Returns whether the node has ended its process after a planned stop. */
    bool hasExited(std::size_t node) const { return m_exited.contains({node, m_nodes[node].incarnation}); }
    /** Returns the coordinator; nothing if there is none. */
    std::optional<std::size_t> coordinator() const;
    /** Returns the number of nodes that act as coordinator. */
    std::size_t coordinators() const;
    /** Returns whether the node is a member of the cell, as far as it knows. */
    bool isMember(std::size_t node) const { return isUp(node) && m_nodes[node].reducer->cell().self() != noMember; }
    /** Ends the target's process, which loses its leases. */
    void killTarget(std::size_t node);
    /** Starts a new incarnation of the target, without leases. */
    void startTarget(std::size_t node);
    void drainTarget(std::size_t node);
    /** The target sends its notice of leaving, again each second until it is acknowledged, and no more heartbeats, but runs on. */
    void leaveTarget(std::size_t node);
    /** Returns whether the node admits requests to its target; with keys, for at least one that the target holds. */
    bool admitsRequests(std::size_t node) const;
    /**
     * Returns a node that still admits requests to its target although the target's departure was acknowledged longer ago than the
     * limit and the node was free of faults of its own for the given time; empty if there is none.
     */
    std::optional<std::size_t> nodeUsingDepartedTarget(Duration limit, Duration calmFor) const;
    /** Delivers an answer of the target that says that it leaves; its heartbeats do not say so. */
    void answerAsLeaving(std::size_t node);
    /** Delivers a request of another node to the node that repeats for how long the node's target has been known to leave. */
    void forwardKnowingDeparture(std::size_t node, Duration leavingFor);
    /** Delivers a request that must not run twice, for a key that the node admits; returns its attempt at the node's target, if any. */
    std::optional<AttemptId> requestOnce(std::size_t node, RequestId request);
    /** Handles the effects that concern requests, and CheckTarget; if empty, they are ignored. */
    std::function<void(std::size_t node, const Effect &effect)> requestEffects;
    /** Calls the function after the given simulated time. */
    void callLater(Duration after, std::function<void()> function) { schedule(after, std::move(function)); }
    Duration now() const { return m_now; }
    /** Converts a time of the node's clock to the time left until then. */
    Duration timeUntil(std::size_t node, MonotonicTime time) const { return time - clock(node); }
    std::uint64_t incarnationOf(std::size_t node) const { return m_nodes[node].incarnation; }
    /** Returns the present incarnation of the target, or nothing while it is not up. */
    std::optional<TargetInstance> runningTarget(std::size_t node) const;
    const Reducer &reducer(std::size_t node) const { return *m_nodes[node].reducer; }
    /** Delivers an event to the node at once. */
    void notify(std::size_t node, EventBody body) { deliver(node, m_nodes[node].incarnation, std::move(body)); }
    /** Returns the number of shards whose requests the node would send to its target. */
    std::size_t shardsAdmittedBy(std::size_t node) const;
    /** Sends a heartbeat of the target that arrives after the given time, at the process of the node that runs then. */
    void sendHeartbeatLate(std::size_t node, Duration delay);
    /** Delivers a well-formed heartbeat of another writer, in the name of a target that seems to have started just now. */
    void deliverForeignHeartbeat(std::size_t node, bool draining);
    /** Delays the arrival of the target's heartbeats at its node. */
    void setHeartbeatDelay(std::size_t node, Duration delay) { m_nodes[node].target.heartbeatDelay = delay; }
    /**
     * From now on the node handles what arrives only from time to time, at most the given time apart, and its ticks before the rest,
     * as an event loop does that is busy or does not get the processor.
     */
    void setLag(std::size_t node, Duration longest);
    /** Calls the function when the node reads what arrives now. */
    void whenRead(std::size_t node, std::function<void()> function);
    /** Delays all events of the node, as if its process were paused. */
    void pauseNode(std::size_t node, Duration length);
    void setIsolated(std::size_t node, bool isolated);
    void setCutFromPlatform(std::size_t node, bool cut);
    /** Restores the platform's table from a copy of the given age. The operator writes the newest document again after some time. */
    void restorePlatform(Duration age, Duration documentRewrittenAfter = Duration(0));
    /** Whether the platform answers nobody; calls sent meanwhile are lost. */
    void setPlatformSilent(bool silent);
    /** Whether the platform refuses every call, as it does beyond its rates. */
    void setPlatformRefusing(bool refusing);
    /** Sets the time that a call takes to reach the platform, and its answer to come back. */
    void setPlatformDelay(Duration delay);
    /** Open connections of all nodes, to the platform and to each other, transfer nothing more; new ones work. */
    void silenceConnections();
    /** The node's next write of its member row fails, but takes effect after the given time if its condition holds then. */
    void delayMemberWrite(std::size_t node, Duration delay) { m_lateMemberWrite = {node, delay}; }
    /** The platform discards its history of changes. */
    void dropHistory();

    /** Accepts the next revision of the document. */
    void putDocument();
    DocumentRevision documentOf(std::size_t node) const { return m_nodes[node].reducer->cell().documentRevision(); }
    /**
     * Returns the longest time for which a node that has been calm for the given time now uses a document although a newer one
     * was accepted; empty if each of them uses the newest. A node is calm while no fault concerns it or the platform.
     */
    std::optional<Duration> longestDocumentDelay(Duration calmFor) const;
    /** Returns whether the node is up and was free of faults of its own for the given time. */
    bool isUndisturbed(std::size_t node, Duration calmFor) const;
    /** Removes all injected faults and starts all nodes and targets that were killed. */
    void healAll();

    bool isUp(std::size_t node) const { return m_nodes[node].reducer != nullptr; }
    bool isIsolated(std::size_t node) const { return m_nodes[node].isolated; }
    std::size_t size() const { return m_nodes.size(); }
    /** Returns the number of shards that all targets hold together. */
    std::size_t heldShards() const;
    /** Returns the number of shards that the node's target holds. */
    std::size_t shardsOf(std::size_t node) const;
    /** Returns the number of terms that ended because their majority expired. */
    std::size_t termsExpired() const { return m_termsExpired; }
    /** Returns the number of complete maps that were sent to members. */
    std::size_t wholeMapsSent() const { return m_wholeMapsSent; }
    /** Returns the number of records of added members at all nodes. */
    std::size_t membersAddedRecords() const { return m_membersAddedRecords; }
    /** Returns the highest sequence number of a fence that a target was granted. */
    std::uint64_t highestSequence() const { return m_highestSequence; }
    /** Returns the first violation of an invariant; empty if there was none. */
    const std::string &violation() const { return m_violation; }

    /** Number of lost messages per 1000. */
    unsigned lossPerMille = 0;
    /** Number of writes of the cell row per 1000 that take effect only seconds after their call has failed. */
    unsigned lateWritesPerMille = 0;
    /** Longest delay of a message. */
    Duration delay = std::chrono::milliseconds(3);
    std::uint64_t random(std::uint64_t below) { return m_random() % below; }

private:
    struct HeldShard {
        Fence fence;
        bool held = false;
    };
    struct Target {
        bool up = false;
        bool draining = false;
        /** It has sent its notice of leaving. */
        bool left = false;
        /** Time at which a node acknowledged that it leaves. */
        std::optional<Duration> departedAt;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::vector<HeldShard> heldShards{shards};
        std::vector<ReleasedRange> released;
        Duration leaseEnd{0};
        Duration heartbeatDelay{0};
    };
    struct Node {
        std::unique_ptr<Reducer> reducer;
        std::uint64_t incarnation = 0;
        /** Number of VMs that had the place of this one before. */
        std::uint64_t formerVms = 0;
        Duration pausedUntil{0};
        Duration longestLag{0};
        /** Time of the latest turn of the node's event loop, and of the one before, by which what had arrived was handled. */
        Duration turnAt{0};
        Duration handledUntil{0};
        double clockRate = 1;
        bool isolated = false;
        bool cutFromPlatform = false;
        /** End of the last fault that concerned the node. */
        Duration disturbedUntil{0};
        /** Number of the latest call for the document. */
        std::uint64_t documentCall = 0;
        /** Latest call whose connection has fallen silent. */
        std::uint64_t silencedCalls = 0;
        /** The connection that the next call other than for documents uses transfers nothing. */
        bool silentConnection = false;
        Target target;
    };
    /** A call for the document that has reached the platform and is not answered yet. */
    struct DocumentCall {
        std::size_t node = 0;
        std::uint64_t incarnation = 0;
        std::uint64_t number = 0;
        /** Version after which changes are requested; empty if the row is read. */
        std::optional<RowVersion> after;
        /** Epoch that the node had seen when it sent the call. */
        TableEpoch epoch;
        /** The call was waiting when the table was restored, and its version is higher than those of the copy. */
        bool waitsForLostVersion = false;
    };
    struct SentHeartbeat {
        Duration sentAt;
        std::uint64_t targetIncarnation = 0;
        /** It says that the target leaves. */
        bool leaves = false;
    };
    struct Timer {
        Duration at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator>(const Timer &other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    void schedule(Duration after, std::function<void()> action);
    MonotonicTime clock(std::size_t node) const;
    void deliver(std::size_t node, std::uint64_t incarnation, EventBody body);
    void execute(std::size_t node, const Effect &effect);
    void writeCellRow(std::size_t node, const WriteCellRow &write);
    void callForDocument(std::size_t node, std::optional<RowVersion> after, Duration wait, Duration timeLimit);
    /** Answers the calls for the document for which there is an answer now. */
    void answerDocumentCalls();
    void answerDocumentCall(const DocumentCall &call, EventBody answer);
    DocumentFollowed followAnswer(const DocumentCall &call) const;
    /** Returns whether the node still waits for the answer to the call, and can receive it. */
    bool isCurrent(const DocumentCall &call) const;
    void failDocumentCall(const DocumentCall &call);
    bool isPlatformReachable(std::size_t node) const { return !m_platformSilent && !m_nodes[node].cutFromPlatform; }
    bool isCalm(std::size_t node, Duration calmFor) const;
    void showEpoch(std::size_t node, std::uint64_t incarnation);
    void replyFromPlatform(std::size_t node, std::function<EventBody(bool reachable)> access);
    void turnLoop(std::size_t node, std::uint64_t incarnation);
    void tickLoop(std::size_t node, std::uint64_t incarnation);
    void heartbeatLoop(std::size_t node, std::uint64_t targetIncarnation);
    TargetAnnounced nextHeartbeat(std::size_t node);
    void sendHeartbeat(std::size_t node);
    void sendNotice(std::size_t node, std::uint64_t targetIncarnation);
    void applyGrant(std::size_t node, std::uint64_t targetIncarnation, Duration sentAt, const TargetLeaseGrant &grant);
    TargetInstance targetInstance(std::size_t node) const;
    bool holdsShard(const Target &target, std::uint32_t shard) const;
    void check();

    const ServiceName &serviceOf(std::size_t node) const;

    std::unique_ptr<DocumentFormat> m_format;
    std::size_t m_nodesWithoutKeys = 0;
    Timings m_timings;
    std::uint32_t m_linkMegabits;
    std::vector<Node> m_nodes;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    std::mt19937_64 m_random;
    FakePlatform m_platform;
    FakeDocumentFeed m_documents;
    std::vector<DocumentCall> m_documentCalls;
    /** Times at which the revisions of the document were accepted. */
    std::map<DocumentRevision, Duration> m_accepted;
    std::optional<std::pair<std::size_t, Duration>> m_lateMemberWrite;
    bool m_platformSilent = false;
    bool m_platformRefusing = false;
    Duration m_platformDelay = normalPlatformDelay;
    /** End of the last fault of the platform. */
    Duration m_platformDisturbedUntil{0};
    /** Messages between nodes are lost until then, as their connections have fallen silent. */
    Duration m_messagesLostUntil{0};
    /** Heartbeats of all targets, in the order sent; an announcement's number is its index plus 1. */
    std::vector<SentHeartbeat> m_sentHeartbeats;
    std::vector<Fence> m_highestFences{shards};
    /** Node and target incarnation of the last holder, by shard. */
    std::vector<std::pair<std::size_t, std::uint64_t>> m_lastHolders{shards};
    Duration m_now{std::chrono::seconds(10)};
    std::uint64_t m_order = 0;
    std::optional<AttemptId> m_targetAttempt;
    std::size_t m_wholeMapsSent = 0;
    std::size_t m_membersAddedRecords = 0;
    std::size_t m_termsExpired = 0;
    std::uint64_t m_highestSequence = 0;
    /** Epoch of the table that each node has seen; the answers of earlier epochs are dropped. */
    std::map<std::pair<std::size_t, std::uint64_t>, TableEpoch> m_seenEpochs;
    /** Nodes that have ended their process, with their incarnations. */
    std::set<std::pair<std::size_t, std::uint64_t>> m_exited;
    std::string m_violation;
};

} // namespace nutmeghinge
