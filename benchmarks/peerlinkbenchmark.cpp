#include "eventloop.h"
#include "peerlink.h"

#include <benchmark/benchmark.h>

using namespace nutmeghinge;

namespace {

const ServiceName service{"advice-desk"};

/** A coordinator and a member on one event loop; the coordinator answers each heartbeat. */
class HeartbeatPair
{
public:
    explicit HeartbeatPair(HeartbeatAnswer answer)
        : m_answer(std::move(answer))
        , m_coordinator(m_loop,
                        [this](const PeerMessageArrived &) {
                            m_coordinator.send({m_memberEndpoint, MemberSlot(1), service, m_answer});
                        })
        , m_member(m_loop, [this](const PeerMessageArrived &) { ++m_answers; })
        , m_coordinatorEndpoint(std::get<Endpoint>(m_coordinator.listen({"127.0.0.1", 0})))
        , m_memberEndpoint(std::get<Endpoint>(m_member.listen({"127.0.0.1", 0})))
    {
    }

    /** Sends heartbeats and runs the loop until all answers have arrived. */
    void exchange(const Heartbeat &heartbeat, std::uint64_t count)
    {
        const std::uint64_t expected = m_answers + count;
        for (std::uint64_t i = 0; i < count; ++i) {
            m_member.send({m_coordinatorEndpoint, MemberSlot(2), service, heartbeat});
        }
        while (m_answers < expected) {
            uv_run(m_loop.handle(), UV_RUN_ONCE);
        }
    }

    std::uint64_t bytesSent() const { return m_member.bytesSent() + m_coordinator.bytesSent(); }
    std::uint64_t messagesSent() const { return m_member.messagesSent() + m_coordinator.messagesSent(); }

private:
    EventLoop m_loop;
    HeartbeatAnswer m_answer;
    std::uint64_t m_answers = 0;
    PeerLink m_coordinator;
    PeerLink m_member;
    Endpoint m_coordinatorEndpoint;
    Endpoint m_memberEndpoint;
};

Heartbeat makeHeartbeat(std::uint32_t heldShards, std::uint32_t heavyHitters)
{
    Heartbeat heartbeat;
    heartbeat.term = Term(9);
    heartbeat.revision = CellRevision(7);
    heartbeat.mapVersion = {Term(9), 41};
    heartbeat.load = {MemberSlot(2), 3, 0, 20, true, {}, {}};
    for (std::uint32_t i = 0; i < heldShards; ++i) {
        heartbeat.held.push_back(ShardIndex(i));
        heartbeat.load.shards.push_back({ShardIndex(i), 1500});
    }
    for (std::uint32_t i = 0; i < heavyHitters; ++i) {
        heartbeat.load.heavyKeys.push_back({i + 1, 9000});
    }
    return heartbeat;
}

HeartbeatAnswer makeAnswer(std::uint32_t mapShards)
{
    HeartbeatAnswer answer;
    answer.term = Term(9);
    answer.revision = CellRevision(7);
    answer.lease = std::chrono::milliseconds(500);
    if (mapShards > 0) {
        answer.map.emplace();
        answer.map->version = {Term(9), 42};
        answer.map->shards.assign(mapShards, {ShardOwnership::State::Owned, MemberSlot(2), noMember, {Term(9), 42}});
    }
    return answer;
}

/** Exchanges heartbeats. Arguments: shards held and reported, heavy hitters, shards of the map in the answer, heartbeats in flight at the same time. */
void heartbeatExchange(benchmark::State &state)
{
    const Heartbeat heartbeat = makeHeartbeat(static_cast<std::uint32_t>(state.range(0)), static_cast<std::uint32_t>(state.range(1)));
    const auto atOnce = static_cast<std::uint64_t>(state.range(3));
    HeartbeatPair pair(makeAnswer(static_cast<std::uint32_t>(state.range(2))));
    pair.exchange(heartbeat, 1);
    const std::uint64_t bytesBefore = pair.bytesSent();
    const std::uint64_t messagesBefore = pair.messagesSent();
    for (auto _ : state) {
        pair.exchange(heartbeat, atOnce);
    }
    const auto heartbeats = static_cast<double>(state.iterations() * atOnce);
    state.counters["bytes/heartbeat"] = static_cast<double>(pair.bytesSent() - bytesBefore) / heartbeats;
    state.counters["messages/heartbeat"] = static_cast<double>(pair.messagesSent() - messagesBefore) / heartbeats;
    state.SetItemsProcessed(static_cast<std::int64_t>(heartbeats));
}
BENCHMARK(heartbeatExchange)
    ->ArgNames({"held", "keys", "map", "atOnce"})
    ->Args({0, 0, 0, 1})
    ->Args({0, 0, 0, 32})
    ->Args({37, 16, 0, 1})
    ->Args({37, 16, 0, 32})
    ->Args({37, 16, 256, 1})
    ->Unit(benchmark::kMicrosecond);

} // namespace
