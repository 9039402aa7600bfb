#pragma once

#include "blockinghttp.h"
#include "childprocess.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

/** What a test sets for its nodes beside their listeners. */
struct NodeEnvironment {
    /** Lines that are added to the settings of each node. */
    std::string settings;
    /** Memory that the system allows each node for its data, in bytes; 0 for no limit. */
    std::uint64_t dataBytes = 0;
    /** Descriptors that the system allows each node; 0 for the limit of the test. */
    std::uint64_t descriptors = 0;
};

/** The node and the target of one VM. */
struct VmProcesses {
    std::string name;
    std::string zone;
    std::unique_ptr<ChildProcess> node;
    std::unique_ptr<ChildProcess> target;
    /** Endpoints of the node's listeners, as "ADDRESS:PORT". */
    std::string callers;
    std::string peers;
    std::string control;
    std::string operations;
    std::string announce;
    /** Endpoint on which the target listens. */
    std::string targetEndpoint;
    /** Endpoints of relays from the node to the platform, and from the target to the node; empty to connect directly. */
    std::string platformRelay;
    std::string announceRelay;
};

/**
 * Runs the stand-in platform, and nodes with stand-in targets, as processes that
 * listen on free ports of 127.0.0.1. The destructor ends all processes.
 */
class TestCluster
{
public:
    explicit TestCluster(const std::string &service);
    ~TestCluster();

    /** Puts the document as the next revision with nutmeghingectl; returns its exit code. */
    int putDocument(const std::string &text);
    /** Sets the environment of the nodes that are started from now on. */
    void setEnvironment(NodeEnvironment environment) { m_environment = std::move(environment); }
    /** Adds a VM and starts its node and target. Waits until they listen, but not until the node serves. */
    VmProcesses &addVm(const std::string &name, const std::string &zone, const std::vector<std::string> &targetOptions = {});
    /** Adds a VM without starting its node and target. */
    VmProcesses &addUnstartedVm(const std::string &name, const std::string &zone);
    /** Keeps the folder with the logs of all processes when the object is destroyed. */
    void keepFolder() { m_keepFolder = true; }
    /** Starts the node, after killing a running one. */
    void startNode(VmProcesses &vm);
    /** Starts the target, after killing a running one. */
    void startTarget(VmProcesses &vm, const std::vector<std::string> &options = {});

    VmProcesses &vm(std::size_t index) { return *m_vms[index]; }
    std::size_t size() const { return m_vms.size(); }
    /** Returns the node's /status page; an empty object if the node does not answer. */
    nlohmann::json status(const VmProcesses &vm) const;
    /** Sends the request to the node's listener for callers, with the service as host and with the key. */
    BlockingAnswer request(const VmProcesses &vm, const std::string &key, BlockingRequest request = {}) const;
    /** Sets the faults that the stand-in at the endpoint injects. */
    static void control(const std::string &endpoint, const nlohmann::json &faults);
    const std::string &platform() const { return m_platformEndpoint; }
    const std::string &folder() const { return m_folder; }

    /** Waits until the condition holds; returns false if it does not within 60 seconds. */
    static bool waitUntil(const std::function<bool()> &condition);
    /** Waits until the running nodes together serve this number of shards. */
    bool waitUntilServed(std::size_t shards) const;
    /** Sends requests for the key and returns the VM whose target answers; null if none does. */
    VmProcesses *ownerOf(const std::string &key);

private:
    std::string m_service;
    std::string m_folder;
    bool m_keepFolder = false;
    NodeEnvironment m_environment;
    std::unique_ptr<ChildProcess> m_platform;
    std::string m_platformEndpoint;
    std::vector<std::unique_ptr<VmProcesses>> m_vms;
    int m_starts = 0;
};
