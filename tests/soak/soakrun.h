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
#include <string>
#include <vector>

/**
 * One run of a plan: real nodes and targets as processes, relays on the links of
 * callers, targets and the platform, callers that keep their connections, and a
 * document that changes.
 */
class SoakRun
{
public:
    SoakRun(std::uint64_t seed, std::size_t seats, std::chrono::milliseconds length);

    /** Plays the plan to its end and lets the cluster recover. */
    SoakObservations play();
    const std::vector<SoakStep> &plan() const { return m_plan; }
    const std::string &folder() const { return m_cluster.folder(); }
    /** Leaves the logs of all processes and the plan in the folder. */
    void keepFolder();

private:
    struct Seat {
        VmProcesses *processes = nullptr;
        std::unique_ptr<SoakRelay> platform;
        std::unique_ptr<SoakRelay> announcements;
        std::unique_ptr<SoakRelay> callers;
        int targetStarts = 0;
        bool nodePaused = false;
    };
    using Time = std::chrono::milliseconds;

    void startSeat(std::size_t index);
    void startNode(Seat &seat);
    void startTarget(Seat &seat);
    void begin(const SoakStep &step);
    void takeBack(const SoakStep &step);
    void stopNode(Seat &seat);
    void awaitStopped(Seat &seat);
    void killNode(Seat &seat);
    void putDocument();
    void observeDocuments();
    void runSteps();
    void callerLoop(std::uint64_t seed, std::size_t number);
    SoakRequest sendOne(KeepAliveConnection &connection, std::size_t seat, const std::string &key, const std::string &order) const;
    void awaitRecovery();
    void readExecutions();
    bool isServed(std::size_t seat, const std::string &key) const;

    std::uint64_t m_seed;
    Time m_length;
    std::vector<SoakStep> m_plan;
    TestCluster m_cluster;
    std::vector<Seat> m_seats;
    int m_documents = 0;
    std::atomic<bool> m_ending{false};
    std::mutex m_mutex;
    SoakObservations m_observations;
};
