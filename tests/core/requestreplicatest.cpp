#include "requestfixture.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace nutmeghinge;
using namespace nutmeghinge::test;
using namespace std::chrono_literals;

namespace {

/** Node 1 of a service that is not sharded; members 1 and 2 in zone north, 3 and 4 in zone south, 10 slots each. */
class ReplicaFixture : public RouterFixture
{
public:
    ReplicaFixture()
        : RouterFixture(false, 10)
    {
        m_ownership.m_members.clear();
        for (std::uint32_t slot = 1; slot <= 4; ++slot) {
            m_ownership.addMember(MemberSlot(slot), slot <= 2 ? "north" : "south");
            MemberLoad load;
            load.slot = MemberSlot(slot);
            load.slots = 10;
            m_ownership.m_loads.push_back(load);
        }
        ownershipChanged();
    }

    /** Sends requests that do not end, and returns their number by member. */
    std::map<std::uint32_t, std::uint32_t> spread(std::uint64_t requests)
    {
        std::map<std::uint32_t, std::uint32_t> counts;
        for (std::uint64_t i = 0; i < requests; ++i) {
            arrive(request(++m_lastRequest));
            counts[1] += static_cast<std::uint32_t>(all<SendToTarget>().size());
            for (const auto &forwarded : all<ForwardRequest>()) {
                m_lastForwarded = forwarded;
                ++counts[static_cast<std::uint32_t>(forwarded.peer.address.back() - '0')];
            }
        }
        return counts;
    }

    ForwardRequest m_lastForwarded;

private:
    std::uint64_t m_lastRequest = 0;
};

} // namespace

TEST_CASE("Requests are distributed evenly over the slots of the replicas", "[request]")
{
    ReplicaFixture node;
    const auto counts = node.spread(36);
    for (std::uint32_t slot = 1; slot <= 4; ++slot) {
        CHECK(counts.at(slot) >= 7);
        CHECK(counts.at(slot) <= 11);
    }
}

TEST_CASE("Replicas in the node's zone are preferred until they are more loaded than the others", "[request]")
{
    ReplicaFixture node;
    node.m_ownership.m_loads[2].inFlight = 5;
    node.m_ownership.m_loads[3].inFlight = 5;
    node.ownershipChanged();
    const auto counts = node.spread(10);
    CHECK(counts.at(1) + counts.at(2) == 10);
}

TEST_CASE("Leaving, unhealthy and removed replicas receive no requests", "[request]")
{
    ReplicaFixture node;
    node.m_ownership.m_members[1].leaving = true;
    node.m_ownership.m_loads[2].healthy = false;
    node.m_ownership.m_document->shrink = {{WallTime(1s), {"target-4"}}};
    node.ownershipChanged();
    const auto counts = node.spread(8);
    CHECK(counts.size() == 1);
    CHECK(counts.at(1) == 8);
}

TEST_CASE("A retry goes to another replica than the one that refused the request", "[request]")
{
    ReplicaFixture node;
    node.m_ownership.m_leaseValid = false;
    node.ownershipChanged();
    node.spread(1);
    const auto first = node.m_lastForwarded;
    node.notRun(first.attempt, NotRunReason::Overloaded);
    CHECK(node.only<ForwardRequest>().peer != first.peer);
}

TEST_CASE("Requests are forwarded to another replica when the target beside the node is full", "[request]")
{
    ReplicaFixture node;
    node.m_ownership.m_document->queue = 0;
    node.m_ownership.m_members.resize(2);
    node.m_ownership.m_loads[1].inFlight = 100;
    node.ownershipChanged();
    const auto counts = node.spread(12);
    CHECK(counts.at(1) == 10);
    CHECK(counts.at(2) == 2);
}

TEST_CASE("All nodes send requests with the same Idempotency-Key to the same replica", "[request]")
{
    ReplicaFixture north;
    ReplicaFixture south;
    south.m_ownership.m_self = MemberSlot(4);
    south.m_ownership.m_loads[0].inFlight = 9;
    south.ownershipChanged();
    std::set<std::string> replicas;
    for (std::uint64_t id = 1; id <= 20; ++id) {
        const RequestArrived request = RouterFixture::request(id, "POST", "check-" + std::to_string(id));
        const auto replicaOf = [&](ReplicaFixture &node) {
            node.arrive(request);
            return node.all<SendToTarget>().empty() ? node.only<ForwardRequest>().peer : node.m_ownership.member(node.m_ownership.self())->peerEndpoint;
        };
        const Endpoint replica = replicaOf(north);
        CHECK(replicaOf(south) == replica);
        replicas.insert(replica.address);
    }
    CHECK(replicas.size() == 4);

    // If the replica is full, the request must not run at another one, where its repeat would not be recognised.
    RequestArrived repeat = RouterFixture::request(21, "POST", "check-1");
    south.arrive(repeat);
    south.notRun(south.only<ForwardRequest>().attempt, NotRunReason::Overloaded);
    CHECK(south.only<RefuseRequest>().outcome == Outcome::NotRun);

    repeat.request = RequestId(22);
    repeat.hops = 1;
    south.arrive(repeat);
    CHECK(south.only<ForwardRequest>().hops == 2);
    repeat.request = RequestId(23);
    repeat.hops = 2;
    south.arrive(repeat);
    CHECK(south.all<SendToTarget>().size() == 1);
}
