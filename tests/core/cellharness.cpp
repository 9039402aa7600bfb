#include "cellharness.h"

#include "effectlist.h"

#include <tuple>

namespace nutmeghinge {

namespace {

const ServiceName testService("advice-desk");
constexpr Duration tickInterval = std::chrono::milliseconds(10);
constexpr Duration announceInterval = std::chrono::seconds(1);
constexpr std::uint64_t driftPerMille = 10;

} // namespace

CellHarness::CellHarness(const Options &options)
    : m_options(options)
    , m_nodes(options.nodes)
    , m_random(options.seed)
{
    platform.put(documentText());
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        // The rates of two clocks differ by less than Timings::driftPerMille.
        const double drift = static_cast<double>(random(2 * driftPerMille * 1000 - 200)) / 1e6 - 0.0099;
        m_nodes[i].clockRate = 1.0 + drift;
        m_nodes[i].clockOffset = std::chrono::seconds(random(1000));
        restart(i);
    }
}

std::string CellHarness::documentText(const std::string &leaving) const
{
    const auto milliseconds = [](Duration duration) { return std::to_string(duration.count() / 1000) + "ms"; };
    std::string text = "service: advice-desk\nkeys: {header: x-key, shards: " + std::to_string(m_options.shards) + "}\n"
                       + "targets: {checkFence: " + (m_options.checksFence ? "true" : "false") + ", executionLimit: " + milliseconds(m_options.executionLimit)
                       + "}\n" + "leases: {holdLimit: " + milliseconds(m_options.holdLimit) + "}\n";
    return leaving.empty() ? text : text + "shrink: [{at: \"1970-01-01T00:00:00Z\", leave: [" + leaving + "]}]\n";
}

std::uint64_t CellHarness::random(std::uint64_t below)
{
    return m_random() % below;
}

MonotonicTime CellHarness::clock(std::size_t node) const
{
    const Node &entry = m_nodes[node];
    return MonotonicTime(entry.clockOffset + Duration(static_cast<std::int64_t>(static_cast<double>(m_now.count()) * entry.clockRate)));
}

void CellHarness::schedule(Duration delay, std::function<void()> action)
{
    m_timers.push(Timer{m_now + delay, m_order++, std::move(action)});
}

void CellHarness::run(Duration length)
{
    const Duration end = m_now + length;
    while (!m_timers.empty() && m_timers.top().at <= end && m_violation.empty()) {
        Timer timer = m_timers.top();
        m_timers.pop();
        m_now = timer.at;
        timer.action();
    }
    m_now = end;
}

std::optional<Duration> CellHarness::runUntil(const std::function<bool()> &condition, Duration limit)
{
    const Duration start = m_now;
    while (!condition()) {
        if (m_now - start >= limit || !m_violation.empty()) {
            return std::nullopt;
        }
        run(tickInterval);
    }
    return m_now - start;
}

void CellHarness::kill(std::size_t node)
{
    m_nodes[node].cell.reset();
    m_nodes[node].activity.reset();
}

void CellHarness::restart(std::size_t node)
{
    kill(node);
    Node &entry = m_nodes[node];
    ++entry.incarnation;
    entry.pausedUntil = m_now;
    entry.accepted.clear();
    entry.stopping = false;
    entry.draining = false;
    NodeIdentity identity;
    identity.node = NodeName("node" + std::to_string(node));
    identity.incarnation = Incarnation(entry.incarnation);
    identity.zone = ZoneName("zone" + std::to_string(node % m_options.zones));
    identity.controlEndpoint = Endpoint{"10.0.0.1", static_cast<std::uint16_t>(node + 1)};
    identity.peerEndpoint = identity.controlEndpoint;
    identity.operationsEndpoint = identity.controlEndpoint;
    identity.seed = m_options.seed * 1000 + node;
    identity.startedAt = clock(node);
    entry.activity = std::make_unique<FakeActivity>();
    entry.cell = std::make_unique<Cell>(identity, Timings(), *entry.activity);
    announceLoop(node, entry.incarnation);
    schedule(Duration(static_cast<std::int64_t>(random(10000))), [this, node, incarnation = entry.incarnation] { tickLoop(node, incarnation); });
}

void CellHarness::pause(std::size_t node, Duration length)
{
    m_nodes[node].pausedUntil = std::max(m_nodes[node].pausedUntil, m_now + length);
}

void CellHarness::cut(std::size_t a, std::size_t b, bool isCut)
{
    const std::pair<std::size_t, std::size_t> pair = std::minmax(a, b);
    if (isCut) {
        m_cut.insert(pair);
    } else {
        m_cut.erase(pair);
    }
}

void CellHarness::isolate(std::size_t node, bool isCut)
{
    for (std::size_t other = 0; other < m_nodes.size(); ++other) {
        if (other != node) {
            cut(node, other, isCut);
        }
    }
}

void CellHarness::healNetwork()
{
    m_cut.clear();
    lossPerMille = 0;
    duplicatePerMille = 0;
    networkDelay = std::chrono::milliseconds(1);
}

void CellHarness::stop(std::size_t node)
{
    m_nodes[node].stopping = true;
    deliver(node, m_nodes[node].incarnation, StopRequested{});
}

void CellHarness::drain(std::size_t node)
{
    m_nodes[node].draining = true;
    announce(node);
}

void CellHarness::tickLoop(std::size_t node, std::uint64_t incarnation)
{
    if (m_nodes[node].incarnation != incarnation || !isUp(node)) {
        return;
    }
    deliver(node, incarnation, Tick{});
    schedule(tickInterval, [this, node, incarnation] { tickLoop(node, incarnation); });
}

void CellHarness::announceLoop(std::size_t node, std::uint64_t incarnation)
{
    if (m_nodes[node].incarnation != incarnation || !isUp(node)) {
        return;
    }
    announce(node);
    schedule(announceInterval, [this, node, incarnation] { announceLoop(node, incarnation); });
}

void CellHarness::announce(std::size_t node)
{
    TargetAnnounced announcement;
    announcement.service = testService;
    announcement.target = TargetName("target" + std::to_string(node));
    announcement.endpoint = Endpoint{"10.0.0.2", static_cast<std::uint16_t>(node + 1)};
    announcement.slots = 20;
    announcement.connections = 130;
    announcement.targetIncarnation = m_nodes[node].incarnation;
    announcement.draining = m_nodes[node].draining;
    deliver(node, m_nodes[node].incarnation, announcement);
}

void CellHarness::deliver(std::size_t node, std::uint64_t incarnation, EventBody body)
{
    Node &entry = m_nodes[node];
    if (!entry.cell || entry.incarnation != incarnation) {
        return;
    }
    if (m_now < entry.pausedUntil) {
        // A paused node handles the events that arrived meanwhile when it resumes, except ticks.
        if (!std::holds_alternative<Tick>(body)) {
            schedule(entry.pausedUntil - m_now, [this, node, incarnation, body = std::move(body)] { deliver(node, incarnation, body); });
        }
        return;
    }
    checkInvariants();
    startWork(node);
    reportLoad(node);
    const WallTime wall(std::chrono::milliseconds(m_now.count() / 1000 + 1));
    const Event event{clock(node), wall, std::move(body)};
    EffectList effects(HybridTime{wall, 0});
    Cell &cell = *entry.cell;
    if (std::holds_alternative<Tick>(event.body)) {
        cell.tick(event, effects);
    } else if (std::holds_alternative<StopRequested>(event.body)) {
        cell.stop(event, effects);
    } else if (std::holds_alternative<CellRowRead>(event.body)) {
        cell.cellRowRead(event, effects);
    } else if (std::holds_alternative<CellRowWriteFinished>(event.body)) {
        cell.cellRowWriteFinished(event, effects);
    } else if (std::holds_alternative<MemberRowsRead>(event.body)) {
        cell.memberRowsRead(event, effects);
    } else if (std::holds_alternative<MemberRowWriteFinished>(event.body)) {
        cell.memberRowWriteFinished(event, effects);
    } else if (std::holds_alternative<DocumentRead>(event.body)) {
        cell.documentRead(event, effects);
    } else if (std::holds_alternative<CellsRead>(event.body)) {
        cell.cellsRead(event, effects);
    } else if (std::holds_alternative<PeerMessageArrived>(event.body)) {
        cell.peerMessageArrived(event, effects);
    } else if (std::holds_alternative<TargetAnnounced>(event.body)) {
        cell.targetAnnounced(event, effects);
    } else if (std::holds_alternative<TargetGrantFinished>(event.body)) {
        cell.targetGrantFinished(event, effects);
    } else if (std::holds_alternative<TargetProbed>(event.body)) {
        cell.targetProbed(event, effects);
    }
    execute(node, effects.take());
    checkInvariants();
}

void CellHarness::execute(std::size_t node, const Effects &effects)
{
    for (const Effect &effect : effects) {
        execute(node, effect);
    }
}

void CellHarness::execute(std::size_t node, const Effect &effect)
{
    const std::uint64_t incarnation = m_nodes[node].incarnation;
    if (const auto *message = std::get_if<SendPeerMessage>(&effect)) {
        send(node, *message);
    } else if (std::holds_alternative<ReadCellRow>(effect)) {
        answerAfterDelay(node, [this](bool down) -> EventBody {
            return CellRowRead{testService, down ? decltype(CellRowRead::result)(PlatformUnavailable{}) : platform.read()};
        });
    } else if (const auto *write = std::get_if<WriteCellRow>(&effect)) {
        answerAfterDelay(node, [this, write = *write](bool down) -> EventBody {
            decltype(CellRowWriteFinished::result) result = PlatformUnavailable{};
            if (!down) {
                result = platform.write(write);
            }
            if (platform.losesAnswers) {
                result = PlatformUnavailable{};
            }
            return CellRowWriteFinished{testService, result};
        });
    } else if (std::holds_alternative<ReadMemberRows>(effect)) {
        answerAfterDelay(node, [this](bool down) -> EventBody {
            return MemberRowsRead{testService, down ? decltype(MemberRowsRead::result)(PlatformUnavailable{}) : platform.memberRows()};
        });
    } else if (const auto *own = std::get_if<WriteMemberRow>(&effect)) {
        answerAfterDelay(node, [this, own = *own](bool down) -> EventBody {
            if (down) {
                return MemberRowWriteFinished{PlatformUnavailable{}};
            }
            return MemberRowWriteFinished{platform.write(own)};
        });
    } else if (const auto *read = std::get_if<ReadDocument>(&effect)) {
        answerAfterDelay(node, [this, known = read->known](bool down) -> EventBody {
            return DocumentRead{testService, down ? decltype(DocumentRead::result)(PlatformUnavailable{}) : platform.readDocument(known)};
        });
    } else if (std::holds_alternative<ReadCells>(effect)) {
        answerAfterDelay(node, [](bool) -> EventBody { return CellsRead{PlatformUnavailable{}}; });
    } else if (const auto *grant = std::get_if<GrantToTarget>(&effect)) {
        schedule(std::chrono::milliseconds(1), [this, node, incarnation, fence = grant->fence] {
            deliver(node, incarnation, TargetGrantFinished{fence, true, std::nullopt});
        });
    } else if (std::holds_alternative<ProbeTarget>(effect)) {
        schedule(std::chrono::milliseconds(1), [this, node, incarnation] { deliver(node, incarnation, TargetProbed{true, std::nullopt}); });
    }
}

void CellHarness::answerAfterDelay(std::size_t node, std::function<EventBody(bool)> access)
{
    const std::uint64_t incarnation = m_nodes[node].incarnation;
    const Duration delay = platform.delay;
    schedule(delay / 2, [this, node, incarnation, delay, access = std::move(access)] {
        EventBody answer = access(platform.down || cutFromPlatform.contains(node));
        schedule(delay / 2, [this, node, incarnation, answer = std::move(answer)] { deliver(node, incarnation, answer); });
    });
}

void CellHarness::send(std::size_t from, const SendPeerMessage &message)
{
    ++m_messages;
    const std::size_t to = message.to.port - 1U;
    const unsigned copies = random(1000) < duplicatePerMille ? 2 : 1;
    for (unsigned copy = 0; copy < copies; ++copy) {
        if (random(1000) < lossPerMille) {
            continue;
        }
        const auto longest = static_cast<std::uint64_t>(networkDelay.count());
        const auto extra = extraDelay.find({from, to});
        const Duration delay =
            Duration(static_cast<std::int64_t>(longest / 10 + random(longest * 9 / 10 + 1))) + (extra == extraDelay.end() ? Duration(0) : extra->second);
        schedule(delay, [this, from, to, arrived = PeerMessageArrived{message.from, message.service, message.message}] {
            if (!m_cut.contains(std::minmax(from, to))) {
                deliver(to, m_nodes[to].incarnation, arrived);
            }
        });
    }
}

void CellHarness::startWork(std::size_t node)
{
    if (!m_options.startsWork) {
        return;
    }
    const auto shard = static_cast<std::uint32_t>(random(m_options.shards));
    if (m_work[shard].contains(node) || !admits(node, shard) || random(4) != 0) {
        return;
    }
    Duration length = std::chrono::milliseconds(random(400));
    if (!m_options.checksFence) {
        length = std::min(length, Duration(cell(node).workDeadline() - clock(node)));
    }
    m_work[shard][node] = m_now + length;
    m_nodes[node].activity->blocking[ShardIndex(shard)] = 1;
    schedule(length, [this, node, shard, incarnation = m_nodes[node].incarnation] {
        m_work[shard].erase(node);
        if (isUp(node) && m_nodes[node].incarnation == incarnation) {
            m_nodes[node].activity->blocking.erase(ShardIndex(shard));
        }
    });
}

void CellHarness::reportLoad(std::size_t node)
{
    std::vector<ShardLoad> &loads = m_nodes[node].activity->load.shards;
    loads.clear();
    for (std::uint32_t shard = 0; shard < m_options.shards; ++shard) {
        if (admits(node, shard)) {
            loads.push_back(ShardLoad{ShardIndex(shard), 10000});
        }
    }
}

bool CellHarness::admits(std::size_t node, std::uint32_t shard) const
{
    return isUp(node) && m_now >= m_nodes[node].pausedUntil && cell(node).mayAdmit(ShardIndex(shard), clock(node));
}

std::size_t CellHarness::ownerOf(std::uint32_t shard) const
{
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        if (admits(node, shard)) {
            return node;
        }
    }
    return m_nodes.size();
}

bool CellHarness::allServed() const
{
    for (std::uint32_t shard = 0; shard < m_options.shards; ++shard) {
        if (ownerOf(shard) == m_nodes.size()) {
            return false;
        }
    }
    return true;
}

std::size_t CellHarness::shardsOf(std::size_t node) const
{
    std::size_t count = 0;
    for (std::uint32_t shard = 0; shard < m_options.shards; ++shard) {
        count += admits(node, shard) ? 1 : 0;
    }
    return count;
}

std::size_t CellHarness::coordinator() const
{
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        if (isUp(node) && m_now >= m_nodes[node].pausedUntil && cell(node).isCoordinator(clock(node))) {
            return node;
        }
    }
    return m_nodes.size();
}

void CellHarness::checkInvariants()
{
    for (std::uint32_t shard = 0; shard < m_options.shards && m_violation.empty(); ++shard) {
        const std::size_t first = ownerOf(shard);
        for (std::size_t node = first + 1; node < m_nodes.size(); ++node) {
            if (admits(node, shard)) {
                m_violation = "shard " + std::to_string(shard) + " admitted by nodes " + std::to_string(first) + " and " + std::to_string(node) + " at "
                              + std::to_string(m_now.count()) + " us";
            }
        }
        if (m_options.checksFence || first == m_nodes.size()) {
            continue;
        }
        for (const auto &[node, end] : m_work[shard]) {
            if (node != first) {
                m_violation = "shard " + std::to_string(shard) + " admitted by node " + std::to_string(first) + " while node " + std::to_string(node)
                              + " works on it at " + std::to_string(m_now.count()) + " us";
            }
        }
    }
}

} // namespace nutmeghinge
