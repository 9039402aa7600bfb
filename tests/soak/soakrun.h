#pragma once

#include "soakobservation.h"
#include "soakplan.h"
#include "soakrelay.h"
#include "testcluster.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

/**
 * Runs the plan of one seed: real nodes and targets as processes, relays on their
 * links to callers and the platform and on the announcements, callers with
 * keep-alive connections, and a document that changes.
 */
class SoakRun
{
public:
    /** Starts the cluster and waits until it serves every shard. The length is the time during which steps start. */
    SoakRun(std::uint64_t seed, std::size_t vmCount, std::chrono::milliseconds length, const SoakExtras &extras);

    /** Applies all steps of the plan under load, waits for recovery and returns what was observed. */
    SoakObservations run();
    const std::vector<SoakStep> &plan() const { return m_plan; }
    /** Folder with the logs of all processes. */
    const std::string &folder() const { return m_cluster.folder(); }
    /** Keeps the folder after the run, and writes the plan to it. */
    void keepFolder();

private:
    struct Vm {
        VmProcesses *processes = nullptr;
        /** Relays from the node to the platform, from the target to the node, and from callers to the node. */
        std::unique_ptr<SoakRelay> platform;
        std::unique_ptr<SoakRelay> announcements;
        std::unique_ptr<SoakRelay> callers;
        int targetStarts = 0;
        /** Time at which the target is started again that has crashed; empty if none has. */
        std::optional<SoakTime> targetRestartAt;
        /** True between SIGSTOP and SIGCONT. */
        bool nodePaused = false;
        /** Announcement that is held back while the node is down. */
        nlohmann::json delayedAnnouncement;
    };
    using Time = std::chrono::milliseconds;

    void startVm(std::size_t index);
    void startNode(Vm &vm);
    void startTarget(Vm &vm);
    void apply(const SoakStep &step);
    void revert(const SoakStep &step);
    void stopNode(Vm &vm);
    void waitUntilStopped(Vm &vm);
    void killNode(Vm &vm);
    void putDocument();
    void silencePlatformConnections();
    /** Returns the announcement that the VM's target sends. */
    static nlohmann::json announcementOf(const Vm &vm);
    void sendForeignAnnouncements(const Vm &vm);
    /** Makes the VM's target state a limit, or its departure if the limit is 0, in its answers. */
    void beginStatement(Vm &vm, std::uint64_t limit);
    /** Ends the recorded statements of the VM's target; of departures only, if only its node has ended. */
    void endStatements(const Vm &vm, bool departuresOnly = false);
    /** Starts targets again some time after they have crashed. */
    void restartCrashedTargets();
    /** During its step of the plan, sends the request that crashes targets again and again, to VMs in turn. */
    void sendCrashingRequest(const SoakStep &step);
    void observeDocuments();
    void applySteps();
    void callerLoop(std::uint64_t seed, std::size_t number);
    SoakRequest sendRequest(KeepAliveConnection &connection, std::size_t vmIndex, const std::string &key, const std::string &order) const;
    void waitForRecovery();
    /** Silences the open connections to the platform, puts a document and records how long each node takes to use it. */
    void measureDocumentDelays();
    void readExecutions();
    bool isServed(std::size_t vmIndex, const std::string &key) const;

    std::uint64_t m_seed;
    Time m_length;
    std::vector<SoakStep> m_plan;
    TestCluster m_cluster;
    std::vector<Vm> m_vms;
    /** Part of the document with the times of leases; empty for the defaults. */
    std::string m_leaseSettings;
    /** Number of document revisions that were put, successfully or not. */
    int m_documents = 0;
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex;
    SoakObservations m_observations;
};
