#include "node.h"

#include "crashsuspects.h"
#include "document.h"
#include "endpointtext.h"
#include "httpexchange.h"
#include "logsetup.h"
#include "notrunreasonname.h"
#include "overloaded.h"
#include "pipelinedserver.h"
#include "recordline.h"
#include "shardof.h"
#include "wireheaders.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

namespace nutmeghinge {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(10);
/**
 * Failed requests of one kind that are logged per second. A node under twice its load
 * refuses more requests than that, and each log line costs processor time.
 */
constexpr std::uint32_t loggedFailuresPerSecond = 10;
constexpr Duration suppressedCountInterval = std::chrono::seconds(1);
constexpr double bytesPerMegabit = 125000;
constexpr std::size_t idleConnectionsPerEndpoint = 64;
constexpr Duration retryAfterWithoutMemory = std::chrono::seconds(1);
constexpr Duration lagInterval = std::chrono::seconds(1);
/** Lag of the event loop from which it is logged. */
constexpr Duration loggedLag = std::chrono::milliseconds(100);
constexpr Duration trafficInterval = std::chrono::seconds(1);
/** Percentage of the VM's link that the traffic of a second must take, in one direction, to be logged. */
constexpr std::uint64_t loggedLinkPercent = 40;
/** Bytes waiting to be sent from which the traffic is logged whatever it takes of the link. */
constexpr std::uint64_t loggedWaitingBytes = 65536;
constexpr Duration memoryReturnInterval = std::chrono::seconds(1);
/** Freed memory below this size stays with the allocator; bytes. */
constexpr std::uint64_t memoryWorthReturning = 8388608;
/** Higher than the limit of any document; the reducer checks the limit of the document in use. */
constexpr std::uint64_t bodyLimitBytes = 67108864;
/** Longer than callers keep idle connections open for reuse. */
constexpr Duration callerIdleTimeout = std::chrono::seconds(20);

std::uint64_t readSince(const std::string &query)
{
    constexpr std::string_view name = "since=";
    std::uint64_t since = 0;
    if (query.starts_with(name)) {
        std::from_chars(query.data() + name.size(), query.data() + query.size(), since);
    }
    return since;
}

nlohmann::json toJsonObject(const Member &member)
{
    return {
        {"slot", member.slot.value()},
        {"node", member.node.value()},
        {"incarnation", member.incarnation.value()},
        {"target", member.target.value()},
        {"zone", member.zone.value()},
        {"peers", endpointToText(member.peerEndpoint)},
        {"control", endpointToText(member.controlEndpoint)},
        {"operations", endpointToText(member.operationsEndpoint)},
        {"leaving", member.leaving},
    };
}

nlohmann::json toJsonArray(const std::vector<Member> &members)
{
    nlohmann::json array = nlohmann::json::array();
    for (const Member &member : members) {
        array.push_back(toJsonObject(member));
    }
    return array;
}

/** Returns the requests under which targets crashed, without what they contain. */
nlohmann::json toJsonArray(const CrashSuspects &suspects, WallTime now)
{
    nlohmann::json array = nlohmann::json::array();
    for (const CrashSuspect &suspect : suspects.all()) {
        for (const SuspectedCrash &crash : suspect.crashes) {
            const RequestIdentity identity{suspect.content, crash.caller};
            const CrashSuspects::Judgement judgement = suspects.judge(identity, now);
            const auto refusedMs = std::chrono::duration_cast<std::chrono::milliseconds>(judgement.refusedFor).count();
            if (judgement.crashes > 0) {
                array.push_back({{"request", toText(identity)}, {"crashes", judgement.crashes}, {"refusedForMs", refusedMs}});
            }
        }
    }
    return array;
}

nlohmann::json toJsonObject(const RequestCounters &counters)
{
    return {
        {"arrived", counters.arrived},
        {"answered", counters.answered},
        {"notRun", counters.notRun},
        {"unknown", counters.unknown},
        {"inFlight", counters.inFlight},
        {"queued", counters.queued},
    };
}

/** Returns the shards whose requests the node admits at this time. */
nlohmann::json servedShards(const Cell &cell, MonotonicTime now)
{
    nlohmann::json shards = nlohmann::json::array();
    const std::size_t count = cell.self() == noMember ? 0 : cell.map().shards.size();
    for (std::uint32_t index = 0; index < count; ++index) {
        if (cell.mayAdmit(ShardIndex(index), now)) {
            shards.push_back(index);
        }
    }
    return shards;
}

} // namespace

Node::Node(EventLoop &loop, NodeSettings settings, NodeAdapters adapters)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_adapters(std::move(adapters))
    , m_limits(readProcessLimits(m_settings))
    , m_memory(MemoryBudget::limitsFor(m_limits.memoryBytes))
    , m_controlMemory(MemoryBudget::limitsForControl(m_limits.memoryBytes))
    , m_connections(m_limits.descriptors)
    , m_pacer(loop, m_settings.linkMegabits * bytesPerMegabit)
    , m_client(loop, idleConnectionsPerEndpoint, &m_connections, &m_traffic)
    , m_forwarder(loop, m_client, *m_adapters.requests, [this](EventBody body) { dispatch(std::move(body)); })
    , m_targetClient(loop, m_client, [this](EventBody body) { dispatch(std::move(body)); })
    , m_platform(m_adapters.makePlatform(loop, m_client, [this](EventBody body) { dispatch(std::move(body)); }))
    , m_peerLink(
          loop,
          [this](PeerMessageArrived message) { dispatch(std::move(message)); },
          ClientLimits{&m_controlMemory, &m_connections},
          &m_traffic.of(ConnectionUse::Control))
    , m_callerServer(makeCallerServer())
    , m_peerServer(makePeerServer())
    , m_announcements(m_adapters.makeAnnouncements(loop, clientLimits(), [this](EventBody body) { dispatch(std::move(body)); }))
    , m_operationsServer(loop, clientLimits())
    , m_timeline(m_settings.timelineRecords)
{
}

Node::~Node() = default;

std::unique_ptr<HttpListener> Node::makeCallerServer()
{
    const auto accept = [this](std::shared_ptr<HttpExchange> exchange) { m_forwarder.accept(std::move(exchange), RequestForwarder::Source::Caller); };
    const RefuseRequest refusal{.request = {}, .retryAfter = retryAfterWithoutMemory, .detail = {}};
    const HttpListener::Options options{.bodyLimit = bodyLimitBytes,
                                        .name = "callers",
                                        .idleTimeout = callerIdleTimeout,
                                        .limits = clientLimits(),
                                        .unavailableHeaders = m_adapters.requests->refusalHeaders(refusal),
                                        .traffic = &m_traffic,
                                        .use = ConnectionUse::Callers,
                                        .pacer = &m_pacer};
    if (m_settings.pipelining) {
        return std::make_unique<PipelinedServer>(m_loop, options, accept);
    }
    return std::make_unique<HttpServer>(m_loop, options, accept);
}

std::unique_ptr<HttpListener> Node::makePeerServer()
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(retryAfterWithoutMemory).count();
    return std::make_unique<PipelinedServer>(
        m_loop,
        HttpListener::Options{.bodyLimit = bodyLimitBytes,
                              .name = "peers",
                              .idleTimeout = callerIdleTimeout,
                              .limits = clientLimits(),
                              .unavailableHeaders = {{std::string(wire::outcome), std::string(wire::notRun)},
                                                     {std::string(wire::reason), std::string(nameOf(NotRunReason::Overloaded))},
                                                     {std::string(wire::retryAfterMs), std::to_string(milliseconds)}},
                              .closingHeaders = {{std::string(wire::outcome), std::string(wire::notRun)},
                                                 {std::string(wire::reason), std::string(nameOf(NotRunReason::NotConnected))}},
                              .traffic = &m_traffic,
                              .use = ConnectionUse::Peers,
                              .pacer = &m_pacer},
        [this](std::shared_ptr<HttpExchange> exchange) { m_forwarder.accept(std::move(exchange), RequestForwarder::Source::Peer); });
}

std::optional<ListenError> Node::start()
{
    m_identity.node = m_settings.node;
    m_identity.zone = m_settings.zone;
    m_identity.region = m_settings.region;
    m_identity.service = m_settings.service;
    m_identity.cell = m_settings.cell;
    m_identity.firstStart = m_settings.firstStart;
    m_identity.linkMegabits = static_cast<std::uint32_t>(m_settings.linkMegabits);
    // The VM has no persistent storage, so the wall clock time of the start is the incarnation.
    m_identity.incarnation = Incarnation(static_cast<std::uint64_t>(m_loop.wallTime().time_since_epoch().count()));
    m_identity.seed = hashOfKey(m_identity.node.value() + '/' + std::to_string(m_identity.incarnation.value()));
    m_identity.startedAt = m_loop.now();
    addPages();
    if (std::optional<ListenError> error = openListeners()) {
        return error;
    }
    Timings timings = m_adapters.timings;
    timings.stopLimit = m_settings.stopLimit;
    m_reducer = std::make_unique<Reducer>(m_identity, timings, m_adapters.documents.get());
    TimelineRecord started;
    started.kind = TimelineRecord::Kind::NodeStarted;
    started.time.wall = m_loop.wallTime();
    runRecord(Record{std::move(started)});
    m_loop.callEvery(tickInterval, [this] { tick(); });
    m_loop.callEvery(suppressedCountInterval, [this] { logSuppressedCounts(); });
    m_traffic.setDeliveredFunction([this](Duration duration) { m_metrics.observeDelivery(duration); });
    m_traffic.setCutFunction([this](const CutAnswer &answer) { logCutAnswer(answer); });
    m_traffic.setEndedFunction([this](const EndedConnection &connection) { logEndedConnection(connection); });
    m_loop.callEvery(trafficInterval, [this] { logTraffic(); });
    m_loop.callEvery(lagInterval, [this] { logLag(); });
    m_loop.callEvery(memoryReturnInterval, [this] { returnMemory(); });
    return std::nullopt;
}

std::optional<ListenError> Node::openListeners()
{
    struct Listener {
        std::variant<Endpoint, ListenError> result;
        Endpoint &endpoint;
        const char *name;
    };
    const std::initializer_list<Listener> listeners{
        // First, as its port is often fixed: a listener whose port the system chooses could take it.
        {m_announcements->listen(m_settings.listenTarget), m_targetEndpoint, "target"},
        {m_callerServer->listen(m_settings.listenCallers), m_callerEndpoint, "callers"},
        {m_peerServer->listen(m_settings.listenPeers), m_identity.peerEndpoint, "peers"},
        {m_peerLink.listen(m_settings.listenControl), m_identity.controlEndpoint, "control"},
        {m_operationsServer.listen(m_settings.listenOperations), m_identity.operationsEndpoint, "operations"},
    };
    for (const Listener &listener : listeners) {
        if (const auto *error = std::get_if<ListenError>(&listener.result)) {
            return *error;
        }
        listener.endpoint = std::get<Endpoint>(listener.result);
        spdlog::info("listening for {} on {}", listener.name, endpointToText(listener.endpoint));
    }
    return std::nullopt;
}

void Node::tick()
{
    const std::uint64_t waiting = m_traffic.of(ConnectionUse::Peers).waiting;
    if (waiting != m_measuredLinkQueue) {
        m_measuredLinkQueue = waiting;
        dispatch(LinkQueueMeasured{waiting});
    }
    dispatch(Tick{});
}

void Node::requestStop()
{
    m_stopping = true;
    dispatch(StopRequested{});
}

void Node::reload(const NodeSettings &settings)
{
    NodeSettings changed = settings;
    changed.logLevel = m_settings.logLevel;
    const bool needsRestart = changed != m_settings;
    m_settings.logLevel = settings.logLevel;
    spdlog::set_level(spdlog::level::from_str(settings.logLevel));
    spdlog::info("settings reloaded: log level {}{}", settings.logLevel, needsRestart ? "; other changes take effect after a restart" : "");
}

void Node::dispatch(EventBody body)
{
    m_pending.push_back(std::move(body));
    if (m_handling || !m_reducer) {
        return;
    }
    m_handling = true;
    while (!m_pending.empty()) {
        const MonotonicTime now = m_loop.now();
        Event event{now, m_loop.wallTime(), std::move(m_pending.front()), std::max(Duration::zero(), now - m_loop.inputHandledUntil())};
        m_pending.pop_front();
        handle(event);
    }
    m_handling = false;
}

void Node::handle(const Event &event)
{
    m_metrics.observeEvent(event);
    recordLag(event);
    for (const Effect &effect : m_reducer->apply(event)) {
        m_metrics.observeEffect(effect, event.at);
        run(effect);
    }
}

void Node::recordLag(const Event &event)
{
    m_highestLag = std::max(m_highestLag, event.lag);
    m_lateEvents += event.lag >= loggedLag ? 1 : 0;
}

void Node::logLag()
{
    if (m_highestLag >= loggedLag) {
        const auto lag = std::chrono::duration_cast<std::chrono::milliseconds>(m_highestLag).count();
        const RequestCounters &requests = m_reducer->router().counters();
        spdlog::info("LoopLag events of the last second were handled up to {} ms late, {} so far over {} ms; {} requests at the target, {} queued",
                     lag,
                     m_lateEvents,
                     std::chrono::duration_cast<std::chrono::milliseconds>(loggedLag).count(),
                     requests.inFlight,
                     requests.queued);
    }
    m_highestLag = Duration::zero();
}

void Node::run(const Effect &effect)
{
    std::visit(Overloaded{
                   [this](const ReadCellRow &read) { m_platform->run(read); },
                   [this](const WriteCellRow &write) { m_platform->run(write); },
                   [this](const ReadMemberRows &read) { m_platform->run(read); },
                   [this](const WriteMemberRow &write) { m_platform->run(write); },
                   [this](const ReadDocument &read) { m_platform->run(read); },
                   [this](const FollowDocument &follow) { m_platform->run(follow); },
                   [this](const ReadCells &read) { m_platform->run(read); },
                   [this](const SendPeerMessage &send) { m_peerLink.send(send); },
                   [this](const ProbeTarget &probe) { m_targetClient.run(probe); },
                   [this](const CheckTarget &check) { m_targetClient.run(check); },
                   [this](const GrantToTarget &grant) { m_targetClient.run(grant); },
                   [this](const AnswerTarget &answer) { m_announcements->run(answer); },
                   [this](const SendToTarget &send) { m_forwarder.run(send); },
                   [this](const ForwardRequest &forward) { m_forwarder.run(forward); },
                   [this](const CancelAttempt &cancel) { m_forwarder.run(cancel); },
                   [this](const RefuseRequest &refuse) { m_forwarder.run(refuse); },
                   [this](const AnswerFromStore &answer) { m_forwarder.run(answer); },
                   [this](const Record &record) { runRecord(record); },
                   [this](const AnnounceClose &) { m_callerServer->announceClose(); },
                   [this](const CloseListener &close) { runCloseListener(close.listener); },
                   [this](const Exit &exit) { runExit(exit); },
               },
               effect);
}

void Node::runRecord(const Record &effect)
{
    TimelineRecord record = effect.record;
    if (record.kind == TimelineRecord::Kind::NodeStopped) {
        record.detail += "; connections that the node ended on a request since its start: " + describeEndedConnections();
    }
    m_timeline.add(record);
    if (!isAboutRequest(record.kind)) {
        spdlog::info("{}", recordToLine(record));
    } else if (spdlog::should_log(spdlog::level::debug)) {
        spdlog::debug("{}", recordToLine(record));
    } else if (isRequestFailure(record.kind) && m_failureLogLimiters.try_emplace(record.kind, loggedFailuresPerSecond).first->second.admit(m_loop.now())) {
        logRequestRecords(record);
    }
}

/** Logs all records of a failed request. Records of other requests are logged at debug level only. */
void Node::logRequestRecords(const TimelineRecord &end)
{
    if (!end.request) {
        spdlog::info("{}", recordToLine(end));
        return;
    }
    for (const TimelineRecord &record : m_timeline.recordsOf(*end.request)) {
        spdlog::info("{}", recordToLine(record));
    }
}

void Node::logSuppressedCounts()
{
    for (auto &[kind, limiter] : m_failureLogLimiters) {
        if (const std::uint64_t suppressed = limiter.takeSuppressed(m_loop.now())) {
            spdlog::info(
                "log rate limit reached: {} more requests that ended with {} were not logged; /timeline has the latest records", suppressed, nameOf(kind));
        }
    }
    const std::uint64_t dropped = droppedLogLines();
    if (dropped != m_droppedLogLines) {
        spdlog::warn("{} log lines were dropped because the reader of the log was too slow", dropped - m_droppedLogLines);
        m_droppedLogLines = dropped;
    }
}

void Node::logTraffic()
{
    std::string uses;
    ByteCounts second;
    for (const ConnectionUse use : {ConnectionUse::Callers, ConnectionUse::Peers, ConnectionUse::Control, ConnectionUse::Platform}) {
        const ByteCounts &counts = m_traffic.of(use);
        ByteCounts &logged = m_loggedTraffic[static_cast<std::size_t>(use)];
        uses += fmt::format("; {}: {} out, {} in, {} waiting", nameOf(use), counts.sent - logged.sent, counts.received - logged.received, counts.waiting);
        second.sent += counts.sent - logged.sent;
        second.received += counts.received - logged.received;
        logged = counts;
    }
    const std::uint64_t waiting = m_traffic.total().waiting;
    const auto link = static_cast<std::uint64_t>(m_settings.linkMegabits * bytesPerMegabit);
    const std::uint64_t busier = std::max(second.sent, second.received);
    if (waiting >= loggedWaitingBytes || (link > 0 && busier * 100 >= link * loggedLinkPercent)) {
        const RequestCounters &requests = m_reducer->router().counters();
        spdlog::info("LinkTraffic bytes in the last second: {} out, {} in, {} waiting, link {}{}; {} requests at the target, {} queued",
                     second.sent,
                     second.received,
                     waiting,
                     link,
                     uses,
                     requests.inFlight,
                     requests.queued);
    }
}

void Node::logCutAnswer(const CutAnswer &answer)
{
    ++m_cutAnswers;
    if (m_cutAnswerLog.admit(m_loop.now())) {
        spdlog::info("AnswerCut an answer to one of the {} was cut {} ms after it had begun: {} of its {} bytes were not sent; {} more were cut before",
                     nameOf(answer.use),
                     std::chrono::duration_cast<std::chrono::milliseconds>(answer.age).count(),
                     answer.unsentBytes,
                     answer.bytes,
                     m_cutAnswerLog.takeSuppressed(m_loop.now()));
    }
}

void Node::logEndedConnection(const EndedConnection &connection)
{
    if (m_endedConnectionLog.admit(m_loop.now())) {
        spdlog::info("ConnectionEnded a connection of the {}{}: {}, {} bytes read of it, the last one {} ms before; {} more were ended before",
                     nameOf(connection.use),
                     connection.stopping ? " during a stop" : "",
                     nameOf(connection.lost),
                     connection.bytes,
                     std::chrono::duration_cast<std::chrono::milliseconds>(connection.sinceLastByte).count(),
                     m_endedConnectionLog.takeSuppressed(m_loop.now()));
    }
}

/** Returns how many connections the node has ended on a request, by what was lost. */
std::string Node::describeEndedConnections() const
{
    std::string text;
    for (std::size_t i = 0; i < LinkTraffic::lostRequestKinds; ++i) {
        const auto lost = static_cast<LostRequest>(i);
        text += fmt::format("{}{} {}", text.empty() ? "" : ", ", m_traffic.endedConnections(lost), nameOf(lost));
    }
    return text;
}

void Node::returnMemory()
{
    m_highestMemory = std::max(m_highestMemory, m_memory.used());
    if (m_highestMemory < memoryWorthReturning || m_memory.used() > m_highestMemory / 2) {
        return;
    }
    m_highestMemory = m_memory.used();
    returnFreeMemory();
}

void Node::runCloseListener(ListenerKind listener)
{
    HttpListener &server = listener == ListenerKind::Callers ? *m_callerServer : *m_peerServer;
    server.shutDown([this, listener] { dispatch(ConnectionsClosed{listener}); });
}

void Node::runExit(const Exit &effect)
{
    m_exitCode = effect.code;
    m_loop.stop();
}

void Node::addPages()
{
    m_operationsServer.addPage("/healthz", "text/plain", [](const std::string &) { return std::string("ok\n"); });
    m_operationsServer.addCheck("/readyz", [this] { return isReady(); });
    m_operationsServer.addPage("/metrics", "text/plain; version=0.0.4", [this](const std::string &) { return metricsPage(); });
    m_operationsServer.addPage("/status", "application/json", [this](const std::string &) { return statusPage(); });
    m_operationsServer.addPage("/timeline", "application/json", [this](const std::string &query) {
        return m_timeline.toJson(readSince(query), m_identity.node.value(), m_identity.incarnation.value());
    });
}

/** Returns whether the node accepts requests of callers and can route them. */
bool Node::isReady() const
{
    const Cell &cell = m_reducer->cell();
    return !m_stopping && cell.document() && cell.self() != noMember;
}

std::string Node::metricsPage() const
{
    const Cell &cell = m_reducer->cell();
    AdapterCounters adapters;
    adapters.controlMessages = m_peerLink.messagesSent();
    adapters.controlBytes = m_peerLink.bytesSent();
    adapters.refusedInputs = m_callerServer->refusedInputs() + m_peerServer->refusedInputs();
    adapters.callerConnections = m_callerServer->openConnections();
    adapters.clientMemoryBytes = m_memory.used();
    adapters.clientMemoryLimitBytes = m_memory.limits().total;
    adapters.clientMemoryRefusals = m_memory.refused();
    adapters.connections = m_connections.used();
    adapters.connectionLimit = m_connections.limit();
    adapters.connectionsClosedForRoom = m_connections.closed();
    adapters.largestRowBytes = m_platform->largestRowBytes();
    adapters.membership = cell.membershipState(m_loop.now());
    adapters.nodesWithoutRoom = cell.nodesWithoutRoom(m_loop.now());
    adapters.traffic = &m_traffic;
    adapters.cutAnswers = m_cutAnswers;
    adapters.recentLag = m_reducer->recentLag(m_loop.now());
    adapters.lateEvents = m_lateEvents;
    return m_metrics.toText(m_reducer->router().counters(), {cell.documentRevision(), cell.documentAge(m_loop.now())}, adapters);
}

std::string Node::statusPage() const
{
    const Cell &cell = m_reducer->cell();
    const MonotonicTime now = m_loop.now();
    const OwnershipMap &map = cell.map();
    const std::optional<Duration> documentAge = cell.documentAge(now);
    const TargetInstance target = cell.target().value_or(TargetInstance());
    const nlohmann::json status{
        {"node", m_identity.node.value()},
        {"incarnation", m_identity.incarnation.value()},
        {"version", NUTMEGHINGE_VERSION},
        {"zone", m_identity.zone.value()},
        {"region", m_identity.region.value()},
        {"service", cell.document() ? cell.document()->service.value() : std::string()},
        {"listening",
         {{"callers", endpointToText(m_callerEndpoint)},
          {"peers", endpointToText(m_identity.peerEndpoint)},
          {"control", endpointToText(m_identity.controlEndpoint)},
          {"target", endpointToText(m_targetEndpoint)},
          {"operations", endpointToText(m_identity.operationsEndpoint)}}},
        {"target", {{"name", target.name.value()}, {"incarnation", target.incarnation}, {"leaving", cell.isTargetDraining()}}},
        {"slot", cell.self().value()},
        {"coordinator", cell.coordinator().value()},
        {"isCoordinator", cell.isCoordinator(now)},
        {"term", cell.term().value()},
        {"revision", cell.revision().value()},
        {"document", cell.documentRevision().value()},
        {"documentUnconfirmedMs", documentAge ? nlohmann::json(std::chrono::duration_cast<std::chrono::milliseconds>(*documentAge).count()) : nlohmann::json()},
        {"leaseMs", std::chrono::duration_cast<std::chrono::milliseconds>(cell.leaseEnd() - now).count()},
        {"map", {{"term", map.version.term.value()}, {"sequence", map.version.sequence}, {"shards", map.shards.size()}}},
        {"serving", servedShards(cell, now)},
        {"members", toJsonArray(cell.members())},
        {"suspects", toJsonArray(m_reducer->router().crashSuspects(), m_loop.wallTime())},
        {"requests", toJsonObject(m_reducer->router().counters())},
    };
    return status.dump();
}

} // namespace nutmeghinge
