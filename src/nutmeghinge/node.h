#pragma once

#include "connectionbudget.h"
#include "effects.h"
#include "eventloop.h"
#include "events.h"
#include "httpclient.h"
#include "httpserver.h"
#include "linkpacer.h"
#include "linktraffic.h"
#include "loglimiter.h"
#include "memorybudget.h"
#include "nodeadapters.h"
#include "nodemetrics.h"
#include "nodesettings.h"
#include "operationsserver.h"
#include "peerlink.h"
#include "processlimits.h"
#include "reducer.h"
#include "requestforwarder.h"
#include "targetclient.h"
#include "timelinering.h"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace nutmeghinge {

/**
 * Connects the reducer to the adapters: passes events of the adapters to the
 * reducer and runs the effects that it returns. Owns the adapters; borrows the loop.
 */
class Node
{
public:
    Node(EventLoop &loop, NodeSettings settings, NodeAdapters adapters);
    ~Node();

    /** Opens all listeners and starts the periodic tick. Returns the error of the first listener that cannot be opened. */
    std::optional<ListenError> start();
    /** Starts a planned stop; the loop ends when it is complete. */
    void requestStop();
    /** Applies the log level, the only setting that may change in a running process. Other changes take effect after a restart. */
    void reload(const NodeSettings &settings);
    /** Exit code of the process; valid after the loop has ended. */
    int exitCode() const { return m_exitCode; }

private:
    static constexpr std::uint32_t loggedCutAnswersPerSecond = 10;
    static constexpr std::uint32_t loggedEndedConnectionsPerSecond = 10;

    void dispatch(EventBody body);
    void handle(const Event &event);
    void tick();
    void run(const Effect &effect);

    // Handlers of the effects that no adapter runs, and their helpers.
    void runRecord(const Record &effect);
    void logRequestRecords(const TimelineRecord &end);
    void logSuppressedCounts();
    /** Logs the traffic of the last second if it took much of the VM's link. */
    void logTraffic();
    void logCutAnswer(const CutAnswer &answer);
    void logEndedConnection(const EndedConnection &connection);
    std::string describeEndedConnections() const;
    void recordLag(const Event &event);
    /** Logs how late events were handled in the last second, if that was long. */
    void logLag();
    void runCloseListener(ListenerKind listener);
    void runExit(const Exit &effect);

    ClientLimits clientLimits() { return {&m_memory, &m_connections}; }
    std::unique_ptr<HttpListener> makeCallerServer();
    std::unique_ptr<HttpListener> makePeerServer();
    /** Returns free memory to the system after clients have held much. */
    void returnMemory();
    std::optional<ListenError> openListeners();
    void addPages();
    bool isReady() const;
    std::string statusPage() const;
    std::string metricsPage() const;

    EventLoop &m_loop;
    NodeSettings m_settings;
    NodeAdapters m_adapters;
    NodeIdentity m_identity;
    Endpoint m_callerEndpoint;
    Endpoint m_targetEndpoint;
    ProcessLimits m_limits;
    MemoryBudget m_memory;
    /** For messages of other nodes, which must get through while clients fill the other one. */
    MemoryBudget m_controlMemory;
    /** Most memory held for clients since free memory was last returned to the system, in bytes. */
    std::uint64_t m_highestMemory = 0;
    ConnectionBudget m_connections;
    LinkTraffic m_traffic;
    LinkPacer m_pacer;
    /** Bytes waiting for peers that the reducer knows of. */
    std::uint64_t m_measuredLinkQueue = 0;
    /** State of m_traffic when it was last logged. */
    std::array<ByteCounts, LinkTraffic::uses> m_loggedTraffic;
    std::uint64_t m_cutAnswers = 0;
    LogLimiter m_cutAnswerLog{loggedCutAnswersPerSecond};
    LogLimiter m_endedConnectionLog{loggedEndedConnectionsPerSecond};
    /** Longest lag of an event since it was last logged. */
    Duration m_highestLag{0};
    /** Events that were handled so late that it was logged. */
    std::uint64_t m_lateEvents = 0;
    HttpClient m_client;
    RequestForwarder m_forwarder;
    TargetClient m_targetClient;
    std::unique_ptr<PlatformPort> m_platform;
    PeerLink m_peerLink;
    std::unique_ptr<HttpListener> m_callerServer;
    std::unique_ptr<HttpListener> m_peerServer;
    std::unique_ptr<AnnouncementPort> m_announcements;
    OperationsServer m_operationsServer;
    NodeMetrics m_metrics;
    TimelineRing m_timeline;
    /** Limits the log lines on failed requests, by the kind of record that ends the request. */
    std::map<TimelineRecord::Kind, LogLimiter> m_failureLogLimiters;
    /** Number of dropped log lines that have been reported so far. */
    std::uint64_t m_droppedLogLines = 0;
    /** Created in start(), when the endpoints of the listeners are known. */
    std::unique_ptr<Reducer> m_reducer;
    /** Events that arrived while another one is handled; they follow in order. */
    std::deque<EventBody> m_pending;
    bool m_handling = false;
    bool m_stopping = false;
    int m_exitCode = 0;
};

} // namespace nutmeghinge
