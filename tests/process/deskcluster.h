#pragma once

#include "testcluster.h"

#include <string>

/** Number of shards in the document of a DeskCluster. */
constexpr std::size_t deskShards = 32;

/** A cluster for the sharded service advice-desk. The constructor waits until every shard is served. */
class DeskCluster
{
public:
    explicit DeskCluster(std::size_t vmCount, bool checkFence = true);
    /** documentLines: further lines of the document. environment: set for all nodes. */
    DeskCluster(std::size_t vmCount, const std::string &documentLines, NodeEnvironment environment);

    TestCluster &cluster() { return m_cluster; }
    /** Returns the text of the document, with more lines at its end. */
    std::string document(const std::string &more = {}) const;
    /** Waits until a node reports that it is the coordinator. Returns the VM of that node, or null if none reports it in time. */
    VmProcesses *coordinator();
    /** Returns the first VM with a node, other than the given VM. */
    VmProcesses &liveVmOtherThan(const VmProcesses &vm);
    /** Sends an order for the key to the node of the VM; targets count the executions of an order by its name. */
    BlockingAnswer order(const VmProcesses &entry, const std::string &key, const std::string &name, const std::string &path = "/orders");
    /** Returns how often the order was executed, summed over the targets that answer. */
    int countExecutions(const std::string &name);
    /** Repeats a GET for the key until a target other than the named one answers it with 200. */
    bool waitUntilServedByOther(const VmProcesses &entry, const std::string &key, const std::string &target);

private:
    void start(std::size_t vmCount, const std::string &documentLines);

    bool m_checkFence;
    TestCluster m_cluster;
};
