#pragma once

#include "nodestatus.h"

#include <map>
#include <string>
#include <vector>

namespace nutmeghinge {

/** The statuses of several nodes, and what they say together. */
class ClusterStatus
{
public:
    void addAnswer(NodeStatus status) { m_answers.push_back(std::move(status)); }
    /** A node that did not answer, or not with a status. */
    void addSilent(const std::string &endpoint, const std::string &reason) { m_silent.emplace_back(endpoint, reason); }

    bool allAnswered() const { return m_silent.empty(); }
    /** Shards served by no node that answered, as of the newest map. */
    std::vector<std::uint32_t> unserved() const;
    /** Shards served by two or more nodes. */
    std::vector<std::uint32_t> servedTwice() const;
    /** Table, silent nodes and summary, for people. */
    std::string toText() const;
    std::string toJson() const;

private:
    std::map<std::uint32_t, int> servers() const;
    std::string table() const;
    std::string documentLine() const;

    std::vector<NodeStatus> m_answers;
    std::vector<std::pair<std::string, std::string>> m_silent;
};

} // namespace nutmeghinge
