#pragma once

#include "backend.h"
#include "store.h"

#include <memory>
#include <sys/types.h>

namespace review {

/** A machine: its addresses, its backend and the process of the node. */
class Machine
{
public:
    struct Ports {
        std::uint16_t inbound = 0;
        std::uint16_t outbound = 0;
        std::uint16_t ready = 0;
        std::uint16_t control = 0;
        std::uint16_t peer = 0;
        std::uint16_t app = 0;
    };

    Machine(std::string name, std::string zone, std::string service, std::string ip, Ports ports);

    Address outbound() const { return {m_ip, m_ports.outbound}; }
    Address control() const { return {m_ip, m_ports.control}; }
    Address app() const { return {m_ip, m_ports.app}; }
    const std::string &name() const { return m_name; }
    const std::string &zone() const { return m_zone; }
    const std::string &service() const { return m_service; }
    const std::string &ip() const { return m_ip; }

    /** Starts the node by the command of the deploy file, with the settings that the deploy file's template gives. */
    bool startNode(const Address &store, const std::string &folder, bool firstStart);
    /** Returns whether the node answers the platform's question for readiness with 200. */
    bool isReady() const;
    /** Sends a signal to the process of the node. */
    void signalNode(int number) const;
    /** Returns whether the node's process has ended, and collects it. */
    bool hasEnded();
    /** Memory that the node's process uses at its peak, in MB. */
    std::size_t peakMemory() const;
    pid_t pid() const { return m_pid; }

private:
    std::string settings(const Address &store, bool firstStart) const;

    std::string m_name;
    std::string m_zone;
    std::string m_service;
    std::string m_ip;
    Ports m_ports;
    pid_t m_pid = -1;
};

/** A small deployment on loopback addresses: store, machines with their nodes and backends, and the configuration. */
class Deployment
{
public:
    struct Options {
        /** Machines of the service that is divided by key. */
        unsigned sharded = 4;
        /** Machines of the service whose backends are copies. */
        unsigned copies = 3;
        std::shared_ptr<std::atomic<bool>> faultyCopies;
    };

    Deployment(Options options, Record &record);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    bool start();
    /** Waits until all nodes are ready and each key has had one holder for a while. */
    bool waitUntilSteady(std::chrono::seconds limit);
    std::vector<std::unique_ptr<Machine>> &machines() { return m_machines; }
    std::vector<std::unique_ptr<Backend>> &backends() { return m_backends; }
    Store &store() { return *m_store; }
    const Address &storeAddress() const { return m_storeAddress; }
    const std::string &folder() const { return m_folder; }

private:
    Options m_options;
    Record &m_record;
    std::string m_folder;
    /** Never destroyed, as its threads run until the process ends. */
    Store *m_store = new Store;
    Address m_storeAddress;
    std::vector<std::unique_ptr<Machine>> m_machines;
    std::vector<std::unique_ptr<Backend>> m_backends;
};

constexpr const char *shardedService = "advice-desk";
constexpr const char *copiesService = "doc-library";
constexpr const char *host = "desk.example";

/** Returns a request as a client sends it. */
Message clientRequest(const std::string &method, const std::string &path, const std::string &attempt, Milliseconds timeLimit);

/** Whether the case plays its disruption: false if the environment has TROUBLE=0. */
bool withTrouble();

/** Ends the process without waiting for the threads of the stand-ins. */
[[noreturn]] void finish(int code);

} // namespace review
