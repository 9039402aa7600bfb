#include "clusterstatus.h"

#include <algorithm>
#include <set>

namespace nutmeghinge {

namespace {

using Row = std::vector<std::string>;

Row rowOf(const NodeStatus &status)
{
    return {status.node,
            status.zone,
            status.service.empty() ? "-" : status.service,
            std::to_string(status.slot),
            status.isCoordinator ? "yes" : "no",
            std::to_string(status.document),
            std::to_string(status.serving.size()),
            std::to_string(status.inFlight),
            std::to_string(status.queued),
            std::to_string(status.answered),
            std::to_string(status.notRun),
            std::to_string(status.unknown)};
}

std::string alignedText(const std::vector<Row> &rows)
{
    std::vector<std::size_t> widths(rows.front().size(), 0);
    for (const Row &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string text;
    for (const Row &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            const bool isLast = column + 1 == row.size();
            text += row[column] + (isLast ? "\n" : std::string(widths[column] - row[column].size() + 2, ' '));
        }
    }
    return text;
}

/** Formats sorted numbers as ranges, such as "0-3, 7"; "none" if there are none. */
std::string rangesText(const std::vector<std::uint32_t> &numbers)
{
    std::string text;
    for (std::size_t first = 0; first < numbers.size();) {
        std::size_t last = first;
        while (last + 1 < numbers.size() && numbers[last + 1] == numbers[last] + 1) {
            ++last;
        }
        text += (text.empty() ? "" : ", ") + std::to_string(numbers[first]) + (last > first ? '-' + std::to_string(numbers[last]) : "");
        first = last + 1;
    }
    return text.empty() ? "none" : text;
}

nlohmann::json toJsonObject(const NodeStatus &status)
{
    return {{"node", status.node},
            {"zone", status.zone},
            {"service", status.service},
            {"slot", status.slot},
            {"isCoordinator", status.isCoordinator},
            {"document", status.document},
            {"serving", status.serving},
            {"inFlight", status.inFlight},
            {"queued", status.queued},
            {"answered", status.answered},
            {"notRun", status.notRun},
            {"unknown", status.unknown}};
}

} // namespace

std::map<std::uint32_t, int> ClusterStatus::countServingNodes() const
{
    const auto newest = std::max_element(
        m_answers.begin(), m_answers.end(), [](const NodeStatus &left, const NodeStatus &right) { return left.mapVersion < right.mapVersion; });
    std::map<std::uint32_t, int> counts;
    for (std::uint32_t shard = 0; newest != m_answers.end() && shard < newest->shards; ++shard) {
        counts[shard] = 0;
    }
    for (const NodeStatus &status : m_answers) {
        for (const std::uint32_t shard : status.serving) {
            ++counts[shard];
        }
    }
    return counts;
}

std::vector<std::uint32_t> ClusterStatus::unserved() const
{
    std::vector<std::uint32_t> shards;
    for (const auto &[shard, count] : countServingNodes()) {
        if (count == 0) {
            shards.push_back(shard);
        }
    }
    return shards;
}

std::vector<std::uint32_t> ClusterStatus::servedTwice() const
{
    std::vector<std::uint32_t> shards;
    for (const auto &[shard, count] : countServingNodes()) {
        if (count > 1) {
            shards.push_back(shard);
        }
    }
    return shards;
}

std::string ClusterStatus::table() const
{
    std::vector<Row> rows{{"node", "zone", "service", "slot", "coordinator", "document", "shards", "in flight", "queued", "answered", "not run", "unknown"}};
    for (const NodeStatus &status : m_answers) {
        rows.push_back(rowOf(status));
    }
    return alignedText(rows);
}

std::string ClusterStatus::documentLine() const
{
    std::map<std::uint64_t, std::string> nodes;
    for (const NodeStatus &status : m_answers) {
        std::string &list = nodes[status.document];
        list += list.empty() ? "" : ", ";
        list += status.node;
    }
    if (nodes.size() == 1) {
        return "document in force: all " + std::to_string(nodes.begin()->first) + '\n';
    }
    std::string text = "document in force: differs\n";
    for (const auto &[revision, list] : nodes) {
        text.append("    ").append(std::to_string(revision)).append(": ").append(list).append("\n");
    }
    return text;
}

std::map<std::string, SuspectStatus> ClusterStatus::suspects() const
{
    std::map<std::string, SuspectStatus> byRequest;
    for (const NodeStatus &status : m_answers) {
        for (const SuspectStatus &suspect : status.suspects) {
            SuspectStatus &known = byRequest[suspect.request];
            known.request = suspect.request;
            known.crashes = std::max(known.crashes, suspect.crashes);
            known.refusedForMs = std::max(known.refusedForMs, suspect.refusedForMs);
        }
    }
    return byRequest;
}

std::string ClusterStatus::suspectLines() const
{
    std::string text;
    for (const auto &[request, suspect] : suspects()) {
        text += "request " + request + ": " + std::to_string(suspect.crashes) + " targets crashed under it";
        text += suspect.refusedForMs > 0 ? ", refused for " + std::to_string(suspect.refusedForMs) + " ms\n" : ", runs beside no other such request\n";
    }
    return text;
}

std::string ClusterStatus::toText() const
{
    std::string text = m_answers.empty() ? "" : table();
    for (const auto &[endpoint, reason] : m_failures) {
        text.append(endpoint).append(": no status: ").append(reason).append("\n");
    }
    if (m_answers.empty()) {
        return text;
    }
    return text + documentLine() + "shards served by none: " + rangesText(unserved()) + "\nshards served by two or more: " + rangesText(servedTwice()) + '\n'
           + suspectLines();
}

std::string ClusterStatus::toJson() const
{
    nlohmann::json nodes = nlohmann::json::array();
    std::set<std::uint64_t> documents;
    for (const NodeStatus &status : m_answers) {
        nodes.push_back(toJsonObject(status));
        documents.insert(status.document);
    }
    nlohmann::json failures = nlohmann::json::array();
    for (const auto &[endpoint, reason] : m_failures) {
        failures.push_back({{"endpoint", endpoint}, {"reason", reason}});
    }
    nlohmann::json suspectList = nlohmann::json::array();
    for (const auto &[request, suspect] : suspects()) {
        suspectList.push_back({{"request", request}, {"crashes", suspect.crashes}, {"refusedForMs", suspect.refusedForMs}});
    }
    const nlohmann::json json{{"nodes", nodes},
                              {"suspects", suspectList},
                              {"silent", failures},
                              {"documents", documents},
                              {"servedByNone", unserved()},
                              {"servedByTwo", servedTwice()}};
    return jsonToText(json) + '\n';
}

} // namespace nutmeghinge
