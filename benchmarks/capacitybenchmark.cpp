#include "cellrowcodec.h"
#include "deduplicationmemory.h"
#include "documentparser.h"
#include "membercodec.h"
#include "peermessagecodec.h"
#include "reducer.h"
#include "timelinering.h"

#include <benchmark/benchmark.h>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <chrono>
#include <cstdlib>
#include <deque>
#include <malloc.h>
#include <map>
#include <memory>
#include <new>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/**
 * Measures the costs that docs/CAPACITY.md uses: processor time, bytes and memory
 * per member, shard, request, document change and deduplication entry, each at 1, 4
 * and 16 times the size. scripts/capacity.sh prints all of them.
 */
namespace {

thread_local std::uint64_t allocations = 0;
thread_local std::int64_t liveBytes = 0;

} // namespace

void *operator new(std::size_t size)
{
    void *memory = std::malloc(size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    ++allocations;
    liveBytes += static_cast<std::int64_t>(malloc_usable_size(memory));
    return memory;
}

void operator delete(void *memory) noexcept
{
    if (memory != nullptr) {
        liveBytes -= static_cast<std::int64_t>(malloc_usable_size(memory));
    }
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    operator delete(memory);
}

namespace nutmeghinge {

namespace {

const ServiceName service("advice-desk");
constexpr Duration tickInterval = std::chrono::milliseconds(10);
constexpr int ticksPerSecond = 100;
constexpr std::uint32_t targetSlots = 100000;
constexpr std::size_t zones = 4;
/** Simulated time after which a cell that has not settled fails the benchmark. */
constexpr int settleSeconds = 900;
/** A cell is steady if its map has not changed for this time, which is longer than the slow start of a target. */
constexpr int steadySeconds = 25;
/** Moves per minute for cells that must become steady quickly. */
constexpr int fastMovesPerMinute = 60000;
constexpr int defaultMovesPerMinute = 60;

std::size_t bytesOf(const SendPeerMessage &message)
{
    capnp::MallocMessageBuilder builder;
    PeerMessageCodec::write(builder.initRoot<wire::PeerControl::DeliverParams>(), message);
    return capnp::computeSerializedSizeInWords(builder) * sizeof(capnp::word);
}

/** Returns a document with a shrink that lists this number of leaving targets. */
std::string documentText(std::uint32_t shards, std::int64_t leaving, int movesPerMinute)
{
    std::string text = "service: advice-desk\nkeys: {header: x-key, shards: " + std::to_string(shards) + "}\ntargets: {checkFence: true}\n";
    text += "balance: {movesPerMinute: " + std::to_string(movesPerMinute) + "}\n";
    if (leaving > 0) {
        text += "shrink:\n  - at: \"2030-01-01T00:00:00Z\"\n    leave:\n";
    }
    for (std::int64_t i = 0; i < leaving; ++i) {
        text += "      - target" + std::to_string(100000 + i) + '\n';
    }
    return text;
}

/** The reducers of all members of a cell, with a simulated network, platform and targets that answer at once. */
class CapacityCell
{
public:
    CapacityCell(std::size_t members, std::uint32_t shards, int movesPerMinute)
        : m_text(documentText(shards, 0, movesPerMinute))
        , m_liveBefore(liveBytes)
    {
        for (std::size_t i = 0; i < members; ++i) {
            NodeIdentity identity;
            identity.node = NodeName("node" + std::to_string(i));
            identity.incarnation = Incarnation(1);
            identity.zone = ZoneName("zone" + std::to_string(i % zones));
            identity.region = RegionName("region0");
            identity.controlEndpoint = Endpoint{"10.0.0.1", static_cast<std::uint16_t>(i)};
            identity.peerEndpoint = identity.controlEndpoint;
            identity.operationsEndpoint = identity.controlEndpoint;
            identity.seed = i;
            identity.startedAt = m_now;
            m_reducers.push_back(std::make_unique<Reducer>(identity, Timings()));
        }
    }

    /**
     * Runs the cell until all members are admitted and every shard has an owner; if steady
     * is set, also until no shard has moved for steadySeconds. Returns false on timeout.
     */
    bool settle(bool steady)
    {
        Fence version;
        int unchanged = 0;
        for (int second = 0; second < settleSeconds; ++second) {
            runSecond();
            const Fence before = std::exchange(version, m_reducers.front()->cell().map().version);
            unchanged = before == version ? unchanged + 1 : 0;
            if (isSettled() && (!steady || unchanged >= steadySeconds)) {
                return true;
            }
        }
        return false;
    }

    void runSecond()
    {
        for (std::size_t node = 0; node < m_reducers.size(); ++node) {
            announce(node);
        }
        for (int tick = 0; tick < ticksPerSecond; ++tick) {
            m_now += tickInterval;
            for (std::size_t node = 0; node < m_reducers.size(); ++node) {
                apply(node, Tick{});
                deliver();
            }
        }
    }

    std::size_t coordinator() const
    {
        for (std::size_t node = 0; node < m_reducers.size(); ++node) {
            if (m_reducers[node]->cell().isCoordinator(m_now)) {
                return node;
            }
        }
        return m_reducers.size();
    }
    Reducer &reducer(std::size_t node) { return *m_reducers[node]; }
    MonotonicTime now() const { return m_now; }
    /** Memory of one reducer in bytes, with its share of the memory of the simulated network and platform. */
    double bytesPerNode() const { return static_cast<double>(liveBytes - m_liveBefore) / static_cast<double>(m_reducers.size()); }

    /** Index of the node whose processor time is added to coordinatorTime; that of all other nodes is added to otherTime. */
    std::size_t timedNode = 0;
    std::size_t heartbeats = 0;
    std::chrono::nanoseconds coordinatorTime{0};
    std::chrono::nanoseconds otherTime{0};
    std::size_t messages = 0;
    std::size_t messageBytes = 0;
    std::size_t heartbeatBytes = 0;
    std::size_t answerBytes = 0;
    std::size_t reads = 0;
    std::size_t writes = 0;

private:
    bool isSettled() const
    {
        const std::size_t coordinatorNode = coordinator();
        if (coordinatorNode == m_reducers.size() || m_reducers[coordinatorNode]->cell().members().size() != m_reducers.size()) {
            return false;
        }
        for (const ShardOwnership &shard : m_reducers[coordinatorNode]->cell().map().shards) {
            if (shard.state != ShardOwnership::State::Owned) {
                return false;
            }
        }
        return true;
    }

    void announce(std::size_t node)
    {
        TargetAnnounced announced;
        announced.service = service;
        announced.target = TargetName("target" + std::to_string(node));
        announced.endpoint = Endpoint{"10.0.0.2", static_cast<std::uint16_t>(node)};
        announced.slots = targetSlots;
        announced.connections = targetSlots;
        announced.targetIncarnation = 1;
        apply(node, std::move(announced));
        deliver();
    }

    void apply(std::size_t node, EventBody body)
    {
        const Event event{m_now, WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch())), std::move(body)};
        const auto start = std::chrono::steady_clock::now();
        Effects effects = m_reducers[node]->apply(event);
        (node == timedNode ? coordinatorTime : otherTime) += std::chrono::steady_clock::now() - start;
        for (Effect &effect : effects) {
            runEffect(node, std::move(effect));
        }
    }

    void deliver()
    {
        while (!m_events.empty()) {
            auto [node, body] = std::move(m_events.front());
            m_events.pop_front();
            apply(node, std::move(body));
        }
    }

    void runEffect(std::size_t node, Effect effect)
    {
        if (auto *message = std::get_if<SendPeerMessage>(&effect)) {
            send(std::move(*message));
        } else if (std::holds_alternative<ReadCellRow>(effect)) {
            ++reads;
            decltype(CellRowRead::result) result = RowAbsent{};
            if (m_row) {
                result = *m_row;
            }
            m_events.emplace_back(node, CellRowRead{service, std::move(result)});
        } else if (auto *write = std::get_if<WriteCellRow>(&effect)) {
            ++writes;
            writeRow(node, std::move(*write));
        } else if (std::holds_alternative<ReadMemberRows>(effect)) {
            ++reads;
            std::vector<VersionedMemberRow> rows;
            for (const auto &[name, row] : m_members) {
                rows.push_back(row);
            }
            m_events.emplace_back(node, MemberRowsRead{service, std::move(rows)});
        } else if (auto *own = std::get_if<WriteMemberRow>(&effect)) {
            ++writes;
            const RowVersion written(++m_memberVersion);
            m_members[own->row.member.node] = {own->row, written};
            m_events.emplace_back(node, MemberRowWriteFinished{RowWritten{written}});
        } else if (auto *read = std::get_if<ReadDocument>(&effect)) {
            ++reads;
            const bool isKnown = read->known >= DocumentRevision(1);
            m_events.emplace_back(node, DocumentRead{service, DocumentCopy{DocumentRevision(1), isKnown ? std::string() : m_text}});
        } else if (std::holds_alternative<ReadCells>(effect)) {
            ++reads;
            m_events.emplace_back(node, CellsRead{std::vector<CellRow>()});
        } else if (std::holds_alternative<ProbeTarget>(effect)) {
            m_events.emplace_back(node, TargetProbed{true, 0});
        } else if (auto *grant = std::get_if<GrantToTarget>(&effect)) {
            m_events.emplace_back(node, TargetGrantFinished{grant->fence, true, std::nullopt});
        }
    }

    void send(SendPeerMessage message)
    {
        const std::size_t bytes = bytesOf(message);
        ++messages;
        messageBytes += bytes;
        if (std::holds_alternative<Heartbeat>(message.message)) {
            ++heartbeats;
            heartbeatBytes += bytes;
        } else if (std::holds_alternative<HeartbeatAnswer>(message.message)) {
            answerBytes += bytes;
        }
        m_events.emplace_back(message.to.port, PeerMessageArrived{message.from, message.service, std::move(message.message), message.time});
    }

    void writeRow(std::size_t node, WriteCellRow write)
    {
        decltype(CellRowWriteFinished::result) result = WriteConflict{};
        if ((m_row ? m_row->version : RowVersion(0)) == write.expected) {
            m_row = VersionedCellRow{std::move(write.row), RowVersion(write.expected.value() + 1)};
            result = RowWritten{m_row->version};
        }
        m_events.emplace_back(node, CellRowWriteFinished{service, result});
    }

    std::string m_text;
    std::int64_t m_liveBefore;
    MonotonicTime m_now{std::chrono::hours(1)};
    std::vector<std::unique_ptr<Reducer>> m_reducers;
    std::deque<std::pair<std::size_t, EventBody>> m_events;
    std::optional<VersionedCellRow> m_row;
    std::map<NodeName, VersionedMemberRow> m_members;
    std::uint64_t m_memberVersion = 0;
};

/**
 * Runs a settled cell without requests for one simulated second; the time is the processor
 * time of its coordinator. Arguments: members, shards, whether to wait until no shard moves.
 */
void capacityCell(benchmark::State &state)
{
    const auto members = static_cast<std::size_t>(state.range(0));
    const bool steady = state.range(2) != 0;
    CapacityCell cell(members, static_cast<std::uint32_t>(state.range(1)), steady ? fastMovesPerMinute : defaultMovesPerMinute);
    if (!cell.settle(steady)) {
        state.SkipWithError("the cell did not settle within the time limit");
        return;
    }
    cell.timedNode = cell.coordinator();
    cell.heartbeats = 0;
    cell.messages = cell.messageBytes = cell.heartbeatBytes = cell.answerBytes = cell.reads = cell.writes = 0;
    cell.otherTime = std::chrono::nanoseconds(0);
    std::chrono::nanoseconds total{0};
    for (auto _ : state) {
        cell.coordinatorTime = std::chrono::nanoseconds(0);
        cell.runSecond();
        total += cell.coordinatorTime;
        state.SetIterationTime(std::chrono::duration<double>(cell.coordinatorTime).count());
    }
    const auto seconds = static_cast<double>(state.iterations());
    const auto heartbeats = static_cast<double>(cell.heartbeats);
    const auto others = static_cast<double>(members - 1);
    state.counters["coordinator_ns/heartbeat"] = static_cast<double>(total.count()) / heartbeats;
    state.counters["member_us/s"] = static_cast<double>(cell.otherTime.count()) / 1000 / seconds / others;
    state.counters["heartbeats/s"] = heartbeats / seconds;
    state.counters["messages/s"] = static_cast<double>(cell.messages) / seconds;
    state.counters["heartbeat_B"] = static_cast<double>(cell.heartbeatBytes) / heartbeats;
    state.counters["answer_B"] = static_cast<double>(cell.answerBytes) / heartbeats;
    state.counters["B/s/member"] = static_cast<double>(cell.messageBytes) / seconds / others;
    state.counters["reads/s"] = static_cast<double>(cell.reads) / seconds;
    state.counters["writes/s"] = static_cast<double>(cell.writes) / seconds;
    state.counters["B/node"] = cell.bytesPerNode();
}
BENCHMARK(capacityCell)
    ->ArgNames({"members", "shards", "steady"})
    ->Args({4, 256, 1})
    ->Args({16, 256, 1})
    ->Args({64, 256, 1})
    ->Args({16, 64, 1})
    ->Args({16, 1024, 1})
    ->Args({64, 256, 0})
    ->Iterations(10)
    ->UseManualTime()
    ->Unit(benchmark::kMicrosecond);

/** Encodes a heartbeat with a load report, as a member sends it once a second. Arguments: shards, heavy hitters. */
void capacityLoadReport(benchmark::State &state)
{
    Heartbeat heartbeat;
    heartbeat.load.slot = MemberSlot(2);
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        heartbeat.load.shards.push_back({ShardIndex(static_cast<std::uint32_t>(i)), 1500});
    }
    for (std::int64_t i = 0; i < state.range(1); ++i) {
        heartbeat.load.heavyKeys.push_back({static_cast<std::uint64_t>(i + 1), 9000});
    }
    const SendPeerMessage message{{"10.0.0.1", 1}, MemberSlot(2), service, std::move(heartbeat)};
    std::size_t bytes = 0;
    for (auto _ : state) {
        bytes = bytesOf(message);
    }
    state.counters["B"] = static_cast<double>(bytes);
}
BENCHMARK(capacityLoadReport)->ArgNames({"shards", "keys"})->Args({4, 16})->Args({16, 16})->Args({64, 16});

/** Encodes a heartbeat answer with the loads of all members, as the coordinator of a service without shard keys sends it once a second. Argument: members. */
void capacityLoadsAnswer(benchmark::State &state)
{
    HeartbeatAnswer answer;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        answer.loads.push_back({MemberSlot(static_cast<std::uint32_t>(i + 1)), 3, 0, 20, true, {}, {}});
    }
    const SendPeerMessage message{{"10.0.0.1", 1}, MemberSlot(2), service, std::move(answer)};
    std::size_t bytes = 0;
    for (auto _ : state) {
        bytes = bytesOf(message);
    }
    state.counters["B"] = static_cast<double>(bytes);
}
BENCHMARK(capacityLoadsAnswer)->ArgName("members")->Arg(4)->Arg(16)->Arg(64);

CellRow makeCellRow(std::int64_t members, std::int64_t shards)
{
    CellRow row;
    row.service = service;
    row.revision = CellRevision(7);
    for (std::int64_t i = 1; i <= members; ++i) {
        Member member;
        member.slot = MemberSlot(static_cast<std::uint32_t>(i));
        member.node = NodeName("node-of-region-0-" + std::to_string(i));
        member.target = TargetName("target-of-region-0-" + std::to_string(i));
        member.incarnation = Incarnation(1764796800000);
        member.zone = ZoneName("zone" + std::to_string(i % static_cast<std::int64_t>(zones)));
        member.region = RegionName("region0");
        member.peerEndpoint = member.controlEndpoint = member.operationsEndpoint = Endpoint{"10.120.130.140", 8000};
        member.slots = 20;
        row.members.push_back(std::move(member));
    }
    row.map.version = Fence{Term(9), 41};
    for (std::int64_t i = 0; i < shards; ++i) {
        const MemberSlot owner(static_cast<std::uint32_t>(i % members + 1));
        row.map.shards.push_back({ShardOwnership::State::Owned, owner, noMember, Fence{Term(9), static_cast<std::uint64_t>(i % members)}});
        row.successors.push_back({MemberSlot(owner.value() % static_cast<std::uint32_t>(members) + 1), MemberSlot(1)});
    }
    return row;
}

/** Parses a cell row, as every node does with the rows of other services. Arguments: members, shards. */
void capacityRow(benchmark::State &state)
{
    const CellRow row = makeCellRow(state.range(0), state.range(1));
    const std::string text = CellRowCodec::toText(row);
    for (auto _ : state) {
        benchmark::DoNotOptimize(CellRowCodec::fromText(text));
    }
    const std::int64_t before = liveBytes;
    const auto copy = std::make_unique<CellRow>(row);
    state.counters["memory_B"] = static_cast<double>(liveBytes - before);
    state.counters["text_B"] = static_cast<double>(text.size());
    state.counters["memberText_B"] = static_cast<double>(MemberCodec::rowToText({row.members.back()}).size());
}
BENCHMARK(capacityRow)
    ->ArgNames({"members", "shards"})
    ->Args({4, 256})
    ->Args({16, 256})
    ->Args({64, 256})
    ->Args({64, 64})
    ->Args({64, 1024})
    ->Unit(benchmark::kMicrosecond);

/** Encodes a heartbeat answer with the whole map. Argument: shards. */
void capacityMap(benchmark::State &state)
{
    HeartbeatAnswer answer;
    answer.map = makeCellRow(64, state.range(0)).map;
    const std::int64_t before = liveBytes;
    const auto copy = std::make_unique<OwnershipMap>(*answer.map);
    state.counters["memory_B"] = static_cast<double>(liveBytes - before);
    const SendPeerMessage message{{"10.0.0.1", 1}, MemberSlot(2), service, std::move(answer)};
    std::size_t bytes = 0;
    for (auto _ : state) {
        bytes = bytesOf(message);
    }
    state.counters["B"] = static_cast<double>(bytes);
}
BENCHMARK(capacityMap)->ArgName("shards")->Arg(64)->Arg(256)->Arg(1024)->Unit(benchmark::kMicrosecond);

/** Processes requests at the node of the owner, from arrival to the end of the target's answer. Argument: requests in flight at the same time. */
void capacityRequest(benchmark::State &state)
{
    const auto inFlight = static_cast<std::size_t>(state.range(0));
    CapacityCell cell(1, 64, defaultMovesPerMinute);
    if (!cell.settle(true)) {
        state.SkipWithError("the cell did not settle within the time limit");
        return;
    }
    Reducer &reducer = cell.reducer(0);
    const auto apply = [&](EventBody body) {
        return reducer.apply(
            Event{cell.now(), WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(cell.now().time_since_epoch())), std::move(body)});
    };
    std::uint64_t id = 0;
    std::uint64_t allocated = 0;
    std::chrono::nanoseconds taken{0};
    std::int64_t memory = 0;
    std::vector<AttemptId> attempts;
    attempts.reserve(inFlight);
    for (auto _ : state) {
        attempts.clear();
        const std::int64_t liveBefore = liveBytes;
        const std::uint64_t allocatedBefore = allocations;
        const auto start = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < inFlight; ++i) {
            RequestArrived arrived;
            arrived.request = RequestId(++id);
            arrived.host = service.value();
            arrived.method = "GET";
            arrived.path = "/shifts";
            arrived.headers.emplace_back("x-key", "crew-1");
            for (const Effect &effect : apply(std::move(arrived))) {
                if (const auto *sent = std::get_if<SendToTarget>(&effect)) {
                    attempts.push_back(sent->attempt);
                }
            }
        }
        memory = liveBytes - liveBefore;
        if (attempts.size() != inFlight) {
            state.SkipWithError("a request was not sent to the target");
            break;
        }
        for (const AttemptId attempt : attempts) {
            apply(AttemptAnswering{attempt, 200});
            apply(AttemptFinished{attempt, AttemptAnswered{200, {}}});
        }
        taken += std::chrono::steady_clock::now() - start;
        allocated += allocations - allocatedBefore;
    }
    const auto requests = static_cast<double>(id);
    state.counters["ns/request"] = static_cast<double>(taken.count()) / requests;
    state.counters["allocations/request"] = static_cast<double>(allocated) / requests;
    state.counters["B/request"] = static_cast<double>(memory) / static_cast<double>(inFlight);
}
BENCHMARK(capacityRequest)->ArgName("inFlight")->Arg(16)->Arg(64)->Arg(256)->Unit(benchmark::kMicrosecond);

/** Parses a document. Argument: targets that its shrink lists as leaving. */
void capacityDocument(benchmark::State &state)
{
    const std::string text = documentText(256, state.range(0), defaultMovesPerMinute);
    for (auto _ : state) {
        const ParsedDocument parsed = parseDocument(text);
        if (!std::holds_alternative<Document>(parsed)) {
            state.SkipWithError("the document is invalid");
            break;
        }
    }
    HeartbeatAnswer answer;
    answer.newerDocument = DocumentCopy{DocumentRevision(2), text};
    state.counters["text_B"] = static_cast<double>(text.size());
    state.counters["spread_B"] = static_cast<double>(bytesOf({{"10.0.0.1", 1}, MemberSlot(2), service, answer}));
}
BENCHMARK(capacityDocument)->ArgName("leaving")->Arg(10)->Arg(40)->Arg(160)->Unit(benchmark::kMicrosecond);

/** Stores answers to requests with an Idempotency-Key in the deduplication memory. Argument: entries. */
void capacityDeduplication(benchmark::State &state)
{
    const auto entries = static_cast<std::uint64_t>(state.range(0));
    double bytes = 0;
    for (auto _ : state) {
        const std::int64_t before = liveBytes;
        DeduplicationMemory memory;
        memory.setBounds(entries, std::chrono::minutes(10));
        for (std::uint64_t i = 0; i < entries; ++i) {
            Request request;
            request.id = RequestId(i + 1);
            request.keyHash = i;
            request.fingerprint = 1;
            request.deduplicationKey = "crew-1/6f1f2a52-90fb-4c0b-b5f1-" + std::to_string(100000000000 + i);
            memory.begin(request);
            StoredAnswer answer;
            answer.status = 200;
            answer.body.assign(200, 'x');
            memory.finishAnswered(request, std::move(answer), MonotonicTime(Duration(static_cast<std::int64_t>(i))));
        }
        bytes = static_cast<double>(liveBytes - before) / static_cast<double>(entries);
    }
    state.counters["B/entry"] = bytes;
}
BENCHMARK(capacityDeduplication)->ArgName("entries")->Arg(256)->Arg(1024)->Arg(4096)->Unit(benchmark::kMicrosecond);

/** Fills the ring of timeline records. Argument: records. */
void capacityTimeline(benchmark::State &state)
{
    const auto records = static_cast<std::size_t>(state.range(0));
    double bytes = 0;
    for (auto _ : state) {
        const std::int64_t before = liveBytes;
        TimelineRing ring(records);
        for (std::size_t i = 0; i < records; ++i) {
            TimelineRecord record;
            record.kind = TimelineRecord::Kind::TermStarted;
            record.detail = "a target knows a newer fence";
            ring.add(record);
        }
        bytes = static_cast<double>(liveBytes - before) / static_cast<double>(records);
    }
    state.counters["B/record"] = bytes;
}
BENCHMARK(capacityTimeline)->ArgName("records")->Arg(1250)->Arg(5000)->Arg(20000)->Unit(benchmark::kMicrosecond);

} // namespace

} // namespace nutmeghinge
