#include "peerlink.h"

#include "eventloop.h"
#include "linktraffic.h"
#include "peerconnection.h"
#include "peerlimits.h"
#include "peerserver.h"
#include "uveventport.h"

#include <algorithm>
#include <map>
#include <spdlog/spdlog.h>

namespace nutmeghinge {

namespace {

/** State kept for one peer. */
struct Peer {
    std::unique_ptr<PeerConnection> connection;
    /** Delay before the next reconnection; zero if the last connection received an answer. */
    Duration reconnectDelay{0};
    MonotonicTime reconnectAt;
    MonotonicTime lastUsed;
};

} // namespace

struct PeerLink::Private : private kj::TaskSet::ErrorHandler {
    Private(EventLoop &eventLoop, MessageFunction messages, ClientLimits limits, ByteCounts *usedTraffic);
    ~Private() noexcept(false);

    void send(const SendPeerMessage &effect);
    /** Closes everything from a later event, since the caller may be the message function. */
    void close();
    void closeAll();

    EventLoop &loop;
    std::shared_ptr<UvEventPort> port;
    ByteCounts ownTraffic;
    ByteCounts &traffic;
    std::uint64_t messagesSent = 0;
    PeerServer server;
    std::map<Endpoint, Peer> peers;
    /** Failed connections. They are destroyed from a later event, since a connection reports its error from within its own functions. */
    std::vector<std::unique_ptr<PeerConnection>> failed;
    MonotonicTime lastCheck;
    bool closed = false;
    uv_timer_t *timer;
    kj::TaskSet tasks;

private:
    PeerConnection *connectionOf(const Endpoint &endpoint, Peer &peer, MonotonicTime now);
    void connectionFailed(const Endpoint &endpoint, const std::string &reason);
    void checkConnections();
    void taskFailed(kj::Exception &&exception) override;
};

PeerLink::Private::Private(EventLoop &eventLoop, MessageFunction messages, ClientLimits limits, ByteCounts *usedTraffic)
    : loop(eventLoop)
    , port(UvEventPort::forCurrentThread(eventLoop))
    , traffic(usedTraffic != nullptr ? *usedTraffic : ownTraffic)
    , server(eventLoop, traffic, std::move(messages), limits)
    , lastCheck(eventLoop.now())
    , timer(new uv_timer_t)
    , tasks(*this)
{
    uv_timer_init(loop.handle(), timer);
    timer->data = this;
    const auto interval = std::chrono::duration_cast<std::chrono::milliseconds>(peerlimits::checkInterval);
    const auto fire = [](uv_timer_t *handle) { static_cast<Private *>(handle->data)->checkConnections(); };
    uv_timer_start(timer, fire, static_cast<std::uint64_t>(interval.count()), static_cast<std::uint64_t>(interval.count()));
}

PeerLink::Private::~Private() noexcept(false)
{
    closeAll();
    uv_close(reinterpret_cast<uv_handle_t *>(timer), [](uv_handle_t *handle) { delete reinterpret_cast<uv_timer_t *>(handle); });
}

void PeerLink::Private::send(const SendPeerMessage &effect)
{
    if (closed) {
        return;
    }
    const MonotonicTime now = loop.now();
    Peer &peer = peers[effect.to];
    peer.lastUsed = now;
    PeerConnection *connection = connectionOf(effect.to, peer, now);
    if (connection == nullptr) {
        return;
    }
    switch (connection->deliver(effect)) {
    case PeerConnection::DeliverResult::Sent:
        ++messagesSent;
        return;
    case PeerConnection::DeliverResult::Full:
        spdlog::debug("dropped a control message to peer {}:{}: too many calls are unanswered", effect.to.address, effect.to.port);
        return;
    case PeerConnection::DeliverResult::TooLarge:
        spdlog::error("dropped a control message to peer {}:{}: it is over the size limit", effect.to.address, effect.to.port);
        return;
    }
}

PeerConnection *PeerLink::Private::connectionOf(const Endpoint &endpoint, Peer &peer, MonotonicTime now)
{
    if (!peer.connection && now >= peer.reconnectAt) {
        const auto onError = [this, endpoint](const std::string &reason) { connectionFailed(endpoint, reason); };
        peer.connection = std::make_unique<PeerConnection>(loop, endpoint, traffic, onError);
    }
    return peer.connection.get();
}

void PeerLink::Private::connectionFailed(const Endpoint &endpoint, const std::string &reason)
{
    Peer &peer = peers[endpoint];
    if (!peer.connection) {
        return;
    }
    spdlog::info("control connection to peer {}:{} failed: {}", endpoint.address, endpoint.port, reason);
    const bool reached = peer.connection->hasReceivedAnswer();
    peer.reconnectDelay = reached ? Duration(0) : std::clamp(2 * peer.reconnectDelay, peerlimits::firstReconnectDelay, peerlimits::maxReconnectDelay);
    peer.reconnectAt = loop.now() + peer.reconnectDelay;
    failed.push_back(std::move(peer.connection));
    tasks.add(kj::evalLater([this] { failed.clear(); }));
}

void PeerLink::Private::checkConnections()
{
    const MonotonicTime now = loop.now();
    const bool wasBlocked = now - lastCheck > peerlimits::answerTimeout;
    lastCheck = now;
    if (wasBlocked) {
        // The loop was blocked or the process suspended. Answers that arrived meanwhile are read before the next check.
        return;
    }
    for (auto &[endpoint, peer] : peers) {
        if (peer.connection && peer.connection->isUnresponsive(now)) {
            connectionFailed(endpoint, "the peer did not answer a call in time");
        }
    }
    std::erase_if(peers, [now](const auto &entry) { return now - entry.second.lastUsed >= peerlimits::idleTimeout; });
    server.closeIdle(now);
}

void PeerLink::Private::close()
{
    closed = true;
    tasks.add(kj::evalLater([this] { closeAll(); }));
}

void PeerLink::Private::closeAll()
{
    failed.clear();
    peers.clear();
    server.close();
}

void PeerLink::Private::taskFailed(kj::Exception &&exception)
{
    spdlog::error("peer link: a task failed: {}", exception.getDescription().cStr());
}

PeerLink::PeerLink(EventLoop &loop, MessageFunction messages, ClientLimits limits, ByteCounts *traffic)
    : m_d(std::make_unique<Private>(loop, std::move(messages), limits, traffic))
{
}

PeerLink::~PeerLink() = default;

std::variant<Endpoint, ListenError> PeerLink::listen(const Endpoint &endpoint)
{
    return m_d->server.listen(endpoint);
}

void PeerLink::send(const SendPeerMessage &effect)
{
    m_d->send(effect);
}

void PeerLink::close()
{
    m_d->close();
}

std::uint64_t PeerLink::bytesSent() const
{
    return m_d->traffic.sent;
}

std::uint64_t PeerLink::messagesSent() const
{
    return m_d->messagesSent;
}

} // namespace nutmeghinge
