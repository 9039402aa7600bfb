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
struct ByteCounts;

/**
 * One outgoing control connection to a peer, with its outstanding calls. It does
 * not recover from an error; the owner replaces it. Must not be destroyed from
 * within its own functions or its error function.
 */
class PeerConnection : private kj::TaskSet::ErrorHandler
{
public:
    enum class DeliverResult {
        Sent,
        /** Not sent: too many calls are outstanding. */
        Full,
        /** Not sent: the message is over the size limit. */
        TooLarge,
    };
    using ErrorFunction = std::function<void(std::string reason)>;

    /**
     * Starts to connect. The error function is called at most once, and never
     * before the constructor has returned.
     * @param traffic counts the bytes sent and received; outlives the connection
     */
    PeerConnection(EventLoop &loop, const Endpoint &peer, ByteCounts &traffic, ErrorFunction onError);

    DeliverResult deliver(const SendPeerMessage &effect);
    /** Returns whether any call was answered, so that the peer was reachable over this connection. */
    bool hasReceivedAnswer() const { return m_receivedAnswer; }
    /** Returns whether the oldest outstanding call has exceeded the answer timeout. */
    bool isUnresponsive(MonotonicTime now) const;
    MonotonicTime lastUsed() const { return m_lastUsed; }

private:
    void taskFailed(kj::Exception &&exception) override;
    void callAnswered(std::uint64_t call);
    void callFailed(std::uint64_t call, const kj::Exception &exception);
    void reportError(const std::string &reason);

    EventLoop &m_loop;
    Endpoint m_peer;
    ErrorFunction m_onError;
    kj::Own<UvAsyncStream> m_stream;
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
    wire::PeerControl::Client m_peerControl;
    bool m_receivedAnswer = false;
    bool m_errorReported = false;
    MonotonicTime m_lastUsed;
    std::uint64_t m_nextCall = 1;
    /** Send time of each outstanding call, by its number. */
    std::map<std::uint64_t, MonotonicTime> m_calls;
    /** The last member, so that the tasks are destroyed before what they use. */
    kj::TaskSet m_tasks;
};

} // namespace nutmeghinge
