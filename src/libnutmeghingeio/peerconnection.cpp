#include "peerconnection.h"

#include "eventloop.h"
#include "peerlimits.h"
#include "peermessagecodec.h"

#include <spdlog/spdlog.h>

namespace nutmeghinge {

namespace {

wire::PeerControl::Client bootstrapOf(capnp::RpcSystem<capnp::rpc::twoparty::VatId> &rpc)
{
    capnp::MallocMessageBuilder message;
    auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
    server.setSide(capnp::rpc::twoparty::Side::SERVER);
    return rpc.bootstrap(server).castAs<wire::PeerControl>();
}

std::string descriptionOf(const kj::Exception &exception)
{
    return exception.getDescription().cStr();
}

} // namespace

PeerConnection::PeerConnection(EventLoop &loop, const Endpoint &peer, ByteCounts &traffic, ErrorFunction onError)
    : m_loop(loop)
    , m_peer(peer)
    , m_onError(std::move(onError))
    , m_stream(UvAsyncStream::connect(loop, peer, traffic))
    , m_network(*m_stream, capnp::rpc::twoparty::Side::CLIENT, peerlimits::readerOptions())
    , m_rpc(capnp::makeRpcClient(m_network))
    , m_peerControl(bootstrapOf(m_rpc))
    , m_lastUsed(loop.now())
    , m_tasks(*this)
{
    m_tasks.add(m_network.onDisconnect().then([this] { reportError("the connection was closed"); }));
}

PeerConnection::DeliverResult PeerConnection::deliver(const SendPeerMessage &effect)
{
    if (m_calls.size() >= peerlimits::outstandingCalls) {
        return DeliverResult::Full;
    }
    auto request = m_peerControl.deliverRequest();
    PeerMessageCodec::write(request, effect);
    if (request.totalSize().wordCount > peerlimits::messageWords / 2) {
        return DeliverResult::TooLarge;
    }
    const std::uint64_t call = m_nextCall++;
    m_lastUsed = m_loop.now();
    m_calls.emplace(call, m_lastUsed);
    m_tasks.add(
        request.send().ignoreResult().then([this, call] { callAnswered(call); }, [this, call](kj::Exception &&exception) { callFailed(call, exception); }));
    return DeliverResult::Sent;
}

bool PeerConnection::isUnresponsive(MonotonicTime now) const
{
    return !m_calls.empty() && now - m_calls.begin()->second >= peerlimits::answerTimeout;
}

void PeerConnection::taskFailed(kj::Exception &&exception)
{
    reportError(descriptionOf(exception));
}

void PeerConnection::callAnswered(std::uint64_t call)
{
    m_calls.erase(call);
    m_receivedAnswer = true;
}

void PeerConnection::callFailed(std::uint64_t call, const kj::Exception &exception)
{
    m_calls.erase(call);
    if (exception.getType() == kj::Exception::Type::DISCONNECTED) {
        reportError(descriptionOf(exception));
        return;
    }
    m_receivedAnswer = true;
    spdlog::warn("peer {}:{} rejected a control message: {}", m_peer.address, m_peer.port, descriptionOf(exception));
}

void PeerConnection::reportError(const std::string &reason)
{
    if (m_errorReported) {
        return;
    }
    m_errorReported = true;
    m_onError(reason);
}

} // namespace nutmeghinge
