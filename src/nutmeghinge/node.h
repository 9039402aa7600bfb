#pragma once

#include "announcementserver.h"
#include "effects.h"
#include "eventloop.h"
#include "events.h"
#include "httpclient.h"
#include "httpserver.h"
#include "nodemetrics.h"
#include "nodesettings.h"
#include "operationsserver.h"
#include "peerlink.h"
#include "platformclient.h"
#include "reducer.h"
#include "requestforwarder.h"
#include "targetclient.h"
#include "timelinering.h"

#include <deque>
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
    Node(EventLoop &loop, NodeSettings settings);
    ~Node();

    /** Opens all listeners and starts the clock; the first fault where one cannot be opened. */
    std::optional<ListenFault> start();
    /** Asks for a planned stop; the loop ends when it is complete. */
    void requestStop();
    /** Code for the process, once the loop has ended. */
    int exitCode() const { return m_exitCode; }

private:
    void dispatch(EventBody body);
    void handle(const Event &event);
    void run(const Effect &effect);

    // Effects with a handler of their own; the others go to an adapter as they are.
    void runRecord(const Record &effect);
    void runCloseListeners();
    void listenerClosed();
    void runExit(const Exit &effect);

    std::optional<ListenFault> openListeners();
    void addPages();
    std::string statusPage() const;
    std::string metricsPage() const;

    EventLoop &m_loop;
    NodeSettings m_settings;
    NodeIdentity m_identity;
    Endpoint m_callerEndpoint;
    Endpoint m_targetEndpoint;
    HttpClient m_client;
    RequestForwarder m_forwarder;
    TargetClient m_targetClient;
    PlatformClient m_platformClient;
    PeerLink m_peerLink;
    HttpServer m_callerServer;
    HttpServer m_peerServer;
    AnnouncementServer m_announcementServer;
    OperationsServer m_operationsServer;
    NodeMetrics m_metrics;
    TimelineRing m_timeline;
    /** Made when the listeners' endpoints are known. */
    std::unique_ptr<Reducer> m_reducer;
    std::deque<EventBody> m_pending;
    bool m_handling = false;
    int m_openListeners = 2;
    int m_exitCode = 0;
};

} // namespace nutmeghinge
