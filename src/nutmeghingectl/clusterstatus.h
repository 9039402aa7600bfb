#pragma once

#include "nodestatus.h"

#include <map>
#include <string>
#include <vector>

namespace nutmeghinge {

/** Collects the status of several nodes and summarizes it. */
class ClusterStatus
{
public:
    /** Adds the status of a node that answered. */
    void addAnswer(NodeStatus status) { m_answers.push_back(std::move(status)); }
    /** Adds a node that did not answer, or whose answer is not a valid status. */
    void addFailure(const std::string &endpoint, const std::string &reason) { m_failures.emplace_back(endpoint, reason); }

    /** Returns whether every node answered with a valid status. */
    bool allAnswered() const { return m_failures.empty(); }
    /** Returns the shards of the newest map that no answering node serves. */
    std::vector<std::uint32_t> unserved() const;
    /** Returns the shards that two or more nodes serve. */
    std::vector<std::uint32_t> servedTwice() const;
    /** Returns a table of the nodes, those without a status, and a summary. */
    std::string toText() const;
    std::string toJson() const;

private:
    /** Returns the number of nodes that serve each shard. */
    std::map<std::uint32_t, int> countServingNodes() const;
    std::string table() const;
    std::string documentLine() const;
    /** Returns the requests under which targets crashed, each once with the highest numbers that a node reports. */
    std::map<std::string, SuspectStatus> suspects() const;
    std::string suspectLines() const;

    std::vector<NodeStatus> m_answers;
    /** Endpoints of nodes without a valid status, each with the reason. */
    std::vector<std::pair<std::string, std::string>> m_failures;
};

} // namespace nutmeghinge
