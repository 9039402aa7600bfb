#include "deskcluster.h"

#include <stdexcept>

DeskCluster::DeskCluster(std::size_t seats, bool checkFence)
    : m_checkFence(checkFence)
    , m_cluster("advice-desk")
{
    if (m_cluster.putDocument(document()) != 0) {
        throw std::runtime_error("the document was not accepted");
    }
    for (std::size_t index = 1; index <= seats; ++index) {
        const std::string name = "advice-" + std::to_string(index);
        m_cluster.addSeat(name, "zone-" + std::to_string(index % 4), checkFence ? std::vector<std::string>{"--check-fence"} : std::vector<std::string>{});
    }
    const bool served = m_cluster.waitUntil([&] {
        for (std::size_t index = 0; index < m_cluster.size(); ++index) {
            if (m_cluster.status(m_cluster.seat(index)).value("serving", nlohmann::json::array()).empty()) {
                return false;
            }
        }
        return true;
    });
    if (!served || !m_cluster.waitUntilServed(deskShards)) {
        throw std::runtime_error("the desk did not come to serve every shard");
    }
}

std::string DeskCluster::document(const std::string &more) const
{
    return "service: advice-desk\nhosts: [advice-desk]\nkeys:\n  header: customer-key\n  shards: " + std::to_string(deskShards)
           + "\ntargets:\n  allow: [\"advice-*\"]\n  checkFence: " + (m_checkFence ? "true" : "false") + "\n" + more;
}

TestSeat *DeskCluster::coordinator()
{
    TestSeat *found = nullptr;
    m_cluster.waitUntil([&] {
        for (std::size_t index = 0; index < m_cluster.size() && !found; ++index) {
            TestSeat &seat = m_cluster.seat(index);
            found = seat.node && m_cluster.status(seat).value("isCoordinator", false) ? &seat : nullptr;
        }
        return found != nullptr;
    });
    return found;
}

TestSeat &DeskCluster::otherThan(const TestSeat &seat)
{
    for (std::size_t index = 0; index < m_cluster.size(); ++index) {
        if (&m_cluster.seat(index) != &seat && m_cluster.seat(index).node) {
            return m_cluster.seat(index);
        }
    }
    throw std::runtime_error("there is no other seat");
}

BlockingAnswer DeskCluster::order(const TestSeat &entry, const std::string &key, const std::string &name, const std::string &path)
{
    return m_cluster.request(entry, key, {"POST", path, {{"idempotency-key", name}, {"x-order", name}}, "glue", 15});
}

int DeskCluster::runsOf(const std::string &name)
{
    int runs = 0;
    for (std::size_t index = 0; index < m_cluster.size(); ++index) {
        const TestSeat &seat = m_cluster.seat(index);
        const BlockingAnswer answer = seat.target ? sendBlocking(seat.targetEndpoint, {"GET", "/executions", {}, {}, 5}) : BlockingAnswer{};
        if (answer.status == 200) {
            runs += nlohmann::json::parse(answer.body).value(name, 0);
        }
    }
    return runs;
}

bool DeskCluster::waitUntilServedByOther(const TestSeat &entry, const std::string &key, const std::string &target)
{
    return m_cluster.waitUntil([&] {
        const BlockingAnswer answer = m_cluster.request(entry, key);
        return answer.status == 200 && nlohmann::json::parse(answer.body).at("target") != target;
    });
}
