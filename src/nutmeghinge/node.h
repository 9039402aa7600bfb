#pragma once

#include "effects.h"
#include "eventloop.h"
#include "events.h"
#include "httpclient.h"
#include "httpserver.h"
#include "loglimiter.h"
#include "nodeadapters.h"
#include "nodemetrics.h"
#include "nodesettings.h"
#include "operationsserver.h"
#include "peerlink.h"
#include "reducer.h"
#include "requestforwarder.h"
#include "targetclient.h"
#include "timelinering.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace nutmeghinge {

/**
 * The node's process: turns what the adapters report into events for the
 * reducer, and carries its effects out. Owns the adapters; borrows the loop.
 */
class Node
{
public:
    Node(EventLoop &loop, NodeSettings settings, NodeAdapters adapters);
    ~Node();

    /** Opens all listeners and starts the clock; the first fault where one cannot be opened. */
    std::optional<ListenFault> start();
    /** Asks for a planned stop; the loop ends when it is complete. */
    void requestStop();
    /** Takes over what may change in a running process: the level of the log. The rest holds from the next start. */
    void reload(const NodeSettings &settings);
    /** Code for the process, once the loop has ended. */
    int exitCode() const { return m_exitCode; }

private:
    void dispatch(EventBody body);
    void handle(const Event &event);
    void run(const Effect &effect);

    // Effects with a handler of their own; the others go to an adapter as they are.
    void runRecord(const Record &effect);
    void logStory(const TimelineRecord &end);
    void logLeftOut();
    void runCloseListeners();
    void listenerClosed();
    void runExit(const Exit &effect);

    std::unique_ptr<HttpListener> makeCallerServer();
    std::optional<ListenFault> openListeners();
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
    HttpClient m_client;
    RequestForwarder m_forwarder;
    TargetClient m_targetClient;
    std::unique_ptr<PlatformPort> m_platform;
    PeerLink m_peerLink;
    std::unique_ptr<HttpListener> m_callerServer;
    HttpServer m_peerServer;
    std::unique_ptr<AnnouncementPort> m_announcements;
    OperationsServer m_operationsServer;
    NodeMetrics m_metrics;
    TimelineRing m_timeline;
    /** By the kind of record that ends a request. */
    std::map<TimelineRecord::Kind, LogLimiter> m_failureLogs;
    std::uint64_t m_droppedLogLines = 0;
    /** Made when the listeners' endpoints are known. */
    std::unique_ptr<Reducer> m_reducer;
    std::deque<EventBody> m_pending;
    bool m_handling = false;
    bool m_stopping = false;
    int m_openListeners = 2;
    int m_exitCode = 0;
};

} // namespace nutmeghinge
