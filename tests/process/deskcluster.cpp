#include "deskcluster.h"

#include <stdexcept>

DeskCluster::DeskCluster(std::size_t vmCount, bool checkFence)
    : m_checkFence(checkFence)
    , m_cluster("advice-desk")
{
    start(vmCount, {});
}

DeskCluster::DeskCluster(std::size_t vmCount, const std::string &documentLines, NodeEnvironment environment)
    : m_checkFence(true)
    , m_cluster("advice-desk")
{
    m_cluster.setEnvironment(std::move(environment));
    start(vmCount, documentLines);
}

void DeskCluster::start(std::size_t vmCount, const std::string &documentLines)
{
    if (m_cluster.putDocument(document(documentLines)) != 0) {
        throw std::runtime_error("the document was not accepted");
    }
    for (std::size_t index = 1; index <= vmCount; ++index) {
        const std::string name = "advice-" + std::to_string(index);
        m_cluster.addVm(name, "zone-" + std::to_string(index % 4), m_checkFence ? std::vector<std::string>{"--check-fence"} : std::vector<std::string>{});
    }
    const bool served = m_cluster.waitUntil([&] {
        for (std::size_t index = 0; index < m_cluster.size(); ++index) {
            if (m_cluster.status(m_cluster.vm(index)).value("serving", nlohmann::json::array()).empty()) {
                return false;
            }
        }
        return true;
    });
    if (!served || !m_cluster.waitUntilServed(deskShards)) {
        throw std::runtime_error("the cluster did not serve every shard in time");
    }
}

std::string DeskCluster::document(const std::string &more) const
{
    return "service: advice-desk\nhosts: [advice-desk]\nkeys:\n  header: customer-key\n  shards: " + std::to_string(deskShards)
           + "\ntargets:\n  allow: [\"advice-*\"]\n  checkFence: " + (m_checkFence ? "true" : "false") + "\n" + more;
}

VmProcesses *DeskCluster::coordinator()
{
    VmProcesses *found = nullptr;
    m_cluster.waitUntil([&] {
        for (std::size_t index = 0; index < m_cluster.size() && !found; ++index) {
            VmProcesses &vm = m_cluster.vm(index);
            found = vm.node && m_cluster.status(vm).value("isCoordinator", false) ? &vm : nullptr;
        }
        return found != nullptr;
    });
    return found;
}

VmProcesses &DeskCluster::liveVmOtherThan(const VmProcesses &vm)
{
    for (std::size_t index = 0; index < m_cluster.size(); ++index) {
        if (&m_cluster.vm(index) != &vm && m_cluster.vm(index).node) {
            return m_cluster.vm(index);
        }
    }
    throw std::runtime_error("no other VM has a node");
}

BlockingAnswer DeskCluster::order(const VmProcesses &entry, const std::string &key, const std::string &name, const std::string &path)
{
    return m_cluster.request(entry, key, {"POST", path, {{"idempotency-key", name}, {"x-order", name}}, "glue", 15});
}

int DeskCluster::countExecutions(const std::string &name)
{
    int executions = 0;
    for (std::size_t index = 0; index < m_cluster.size(); ++index) {
        const VmProcesses &vm = m_cluster.vm(index);
        const BlockingAnswer answer = vm.target ? sendBlocking(vm.targetEndpoint, {"GET", "/executions", {}, {}, 5}) : BlockingAnswer{};
        if (answer.status == 200) {
            executions += nlohmann::json::parse(answer.body).value(name, 0);
        }
    }
    return executions;
}

bool DeskCluster::waitUntilServedByOther(const VmProcesses &entry, const std::string &key, const std::string &target)
{
    return m_cluster.waitUntil([&] {
        const BlockingAnswer answer = m_cluster.request(entry, key);
        return answer.status == 200 && nlohmann::json::parse(answer.body).at("target") != target;
    });
}
