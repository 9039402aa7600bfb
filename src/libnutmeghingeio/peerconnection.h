#pragma once

#include "effects.h"
#include "uvasyncstream.h"

#include <capnp/rpc-twoparty.h>
#include <functional>
#include <map>
#include <peercontrol.capnp.h>
#include <string>

namespace nutmeghinge {

class EventLoop;

/**
 * One connection made to a peer, with the calls that wait for their answers.
 * Never recovers: after a fault it is replaced. Must be destroyed outside of its
 * own functions.
 */
class PeerConnection : private kj::TaskSet::ErrorHandler
{
public:
    enum class DeliverResult {
        Sent,
        /** Too many calls wait for their answers. */
        Full,
        TooLarge,
    };
    using FaultFunction = std::function<void(std::string reason)>;

    /** Starts to connect. The fault function is called at most once, never before the constructor has returned. */
    PeerConnection(EventLoop &loop, const Endpoint &peer, std::uint64_t &bytesSent, FaultFunction fault);

    DeliverResult deliver(const SendPeerMessage &effect);
    /** Any call was answered: the peer was reached by this connection. */
    bool wasAnswered() const { return m_answered; }
    /** The oldest call has waited for the answer timeout. */
    bool isSilent(MonotonicTime now) const;
    MonotonicTime lastUsed() const { return m_lastUsed; }

private:
    void taskFailed(kj::Exception &&exception) override;
    void callAnswered(std::uint64_t call);
    void callFailed(std::uint64_t call, const kj::Exception &exception);
    void report(const std::string &reason);

    EventLoop &m_loop;
    Endpoint m_peer;
    FaultFunction m_fault;
    kj::Own<UvAsyncStream> m_stream;
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
    wire::PeerControl::Client m_peerControl;
    bool m_answered = false;
    bool m_reported = false;
    MonotonicTime m_lastUsed;
    std::uint64_t m_nextCall = 1;
    /** When each call that waits for its answer was sent. */
    std::map<std::uint64_t, MonotonicTime> m_calls;
    /** Last, so that no task outlives what it uses. */
    kj::TaskSet m_tasks;
};

} // namespace nutmeghinge
