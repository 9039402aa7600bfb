#pragma once

#include "connectionbudget.h"
#include "httpexchange.h"
#include "httplistener.h"
#include "linkpacer.h"
#include "memorycharge.h"
#include "picohttpparser.h"
#include "socketaddress.h"
#include "units.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <uv.h>

namespace nutmeghinge {

class EventLoop;
class PipelinedExchange;

/**
 * A client's connection to a PipelinedServer: reads requests, queues their
 * exchanges and sends the answers in the order of the requests. Kept alive by the
 * server and by its handles in the loop. What it holds for the client is charged to
 * the memory budget, which may reclaim an unfinished request or unread answers.
 * Large answers to clients on other VMs are written at the pace of the VM's link.
 */
class PipelinedConnection : public std::enable_shared_from_this<PipelinedConnection>, public ConnectionBudget::Holder, public LinkPacer::Writer
{
public:
    /** Interface to the server, which outlives its connections. */
    class Owner
    {
    public:
        virtual ~Owner() = default;
        virtual void onRequest(std::shared_ptr<HttpExchange> exchange) = 0;
        virtual void onRequestRefused(const char *reason) = 0;
        /** Reports that the connection has closed; it makes no further calls. */
        virtual void onConnectionClosed(PipelinedConnection &connection) = 0;
    };

    /** The options must outlive the connection. */
    PipelinedConnection(EventLoop &loop, Owner &owner, const HttpListener::Options &options);
    ~PipelinedConnection() override;
    PipelinedConnection(const PipelinedConnection &) = delete;
    PipelinedConnection &operator=(const PipelinedConnection &) = delete;

    /** Accepts the next connection of the listener. Returns false if there is none. */
    bool accept(uv_stream_t *listener);
    /** Takes over a connection that was accepted otherwise. Returns false, and closes the socket, if that fails. */
    bool adopt(uv_os_sock_t socket);
    /**
     * Announces the close with the last of the pending answers, or with the next one. Until it begins, requests are read and answered. A
     * client that sends requests behind others would lose those that are on their way, so it is told by closeAfterAnswers() only.
     */
    void announceClose() { m_announcesClose = true; }
    /** Closes the connection after the last pending answer that can still announce the close. */
    void closeAfterAnswers();
    /** Like closeAfterAnswers(), but also closes the connection once it is idle. */
    void closeIfIdle();
    /** During a shutdown: refuses a request that is being received and has made no progress for this time. */
    void refuseStalled(Duration time);
    /** Resets the connection without calling the closed functions of its exchanges. */
    void abort();
    bool isClosable() const override;
    bool hasServed() const override { return m_hasServed; }
    MonotonicTime idleSince() const override { return m_idleSince; }
    void closeForRoom() override { close(); }
    std::uint64_t bytesLeft() const override;
    bool writeChunk(std::uint64_t bytes) override;
    /** Returns the client's endpoint; empty if the client has disconnected. */
    Endpoint client() const { return SocketAddress::remoteEndpoint(&m_socket); }

private:
    friend class PipelinedExchange;

    enum class State : std::uint8_t {
        Open,
        /** All answers are sent, and the last one announced the close; further input is discarded until the client closes the connection. */
        Lingering,
        /** Closed by the server while idle. Nothing more is read: a request that crosses the close is left to the client, which may repeat it. */
        ClosedIdle,
        Closed,
    };

    /** A request whose head has been read and whose body is not complete yet. */
    struct PartialRequest {
        HttpRequest request;
        bool keepAlive = true;
        bool isHead = false;
        bool chunked = false;
        std::uint64_t bodyLeft = 0;
        std::size_t headSize = 0;
        phr_chunked_decoder decoder{};
        /** Bytes of chunk sizes, extensions and trailers since the last byte of the body. */
        std::size_t chunkOverhead = 0;
    };

    /** Returns whether the exchange's answer, which begins, is the last one of the connection. If so, no further request is read. */
    bool beginLastAnswer(const PipelinedExchange &exchange);
    /** Returns whether the exchange's answer is the one being sent. */
    bool isFirst(const PipelinedExchange &exchange) const { return !m_exchanges.empty() && m_exchanges.front().get() == &exchange; }
    bool begin(bool opened);
    void handleInput(ssize_t size, const char *data);
    void parse();
    /** Returns false if more input is needed or the request was refused. */
    bool parseHead();
    bool parseBody();
    bool parseChunks();
    void dispatchRequest();
    /** Appends to the body of the partial request. Returns false, after refusing the request, if there is no memory. */
    bool appendBody(std::string_view data);
    void refuse(std::uint16_t status, const char *reason, HttpHeaders headers = {});
    /** Sends an answer of the server itself after those to earlier requests, and stops reading requests. */
    void answerLast(std::uint16_t status, const char *reason, HttpHeaders headers);
    void refuseForMemory();
    void updateReading();
    /** Reads on without keeping the data, so that the client can receive the answer; only up to the size of one body. */
    void discardInput(std::size_t size);

    std::size_t inputBytes(std::size_t bodyBytes) const;
    /** Each of these charges what the connection holds now and returns false if it does not fit. */
    bool chargeInput();
    bool chargeOutput();
    void reclaimInput();
    void reclaimOutput();
    /** Returns the memory that answers take that are not sent. */
    std::size_t outputBytes() const;
    /** Returns the bytes of answers that the system has not taken, in the socket's write queue or waiting for the link. */
    std::size_t unsentBytes() const;
    /** Counts received bytes. Enough of them renew the time limit of a request. */
    void recordInput(std::size_t size);

    /** Sends the available output of the first exchange and removes complete exchanges. */
    void flush();
    void send(std::string bytes);
    /** Passes the bytes to the socket. */
    void write(std::string bytes);
    /** Returns whether the answer being sent leaves the VM and is large enough to wait for its turn on the link. */
    bool isPaced() const;
    std::string takeOutgoing(std::uint64_t bytes);
    void shutDownSocket();
    bool isWriteQueueFull() const;
    /** Returns whether the client has sent bytes that were not read yet. */
    bool hasUnreadInput() const;
    void handleWritten();
    /** Counts the bytes that the socket has not taken, and reports complete answers whose last byte it has taken. */
    void recordUnsent();
    /** Remembers a complete answer until the socket has taken its last byte. */
    void recordAnswered(const PipelinedExchange &exchange);
    /** Reports the answers that end with the connection. */
    void reportCutAnswers();
    /** Reports what the client loses with the connection. Only what was thrown away counts if the client has ended it. */
    void reportLostRequests();
    void reportLost(LostRequest lost, std::uint64_t bytes);
    void handleDisconnect();
    void reset();
    void finish();
    /** Closes the connection if nothing of a request has arrived. */
    void endIdle();
    /** Arms the timer of a connection that has become idle. */
    void armIdleTimer();
    void close();
    void armTimer(Duration duration);
    void onTimeout();
    /** Returns whether a request has been received in part. */
    bool hasUnfinishedRequest() const { return m_partial || !m_input.empty(); }

    EventLoop &m_loop;
    Owner &m_owner;
    const HttpListener::Options &m_options;
    uv_tcp_t m_socket{};
    uv_timer_t m_timer{};
    int m_openHandles = 2;
    /** Keeps the connection alive until the loop has closed its handles. */
    std::shared_ptr<PipelinedConnection> m_self;
    State m_state = State::Open;
    bool m_reading = false;
    bool m_announcesClose = false;
    /** The client has sent a request before the one before it was answered. */
    bool m_pipelines = false;
    /** True if the connection closes after the last pending answer. */
    bool m_closeAfterAnswers = false;
    /** True if the connection closes when it is idle. */
    bool m_closesIdle = false;
    /** True if no further request is read: the client announced its last request, a request was refused or the server shuts down. */
    bool m_inputEnded = false;
    bool m_flushing = false;
    bool m_hasServed = false;
    bool m_clientDisconnected = false;
    /** answerLast() was called. What follows may be the rest of a refused request, or one that the answer is for. */
    bool m_refused = false;
    MonotonicTime m_idleSince;
    MonotonicTime m_lastInput;
    /** Bytes received since they last counted as progress. */
    std::size_t m_unmarkedBytes = 0;
    /** Bytes received after the last request that was read. */
    std::uint64_t m_discardedBytes = 0;
    /** Charge for the connection itself and for a request that has not been received completely. */
    MemoryCharge m_inputCharge;
    /** Charge for answers that have not been sent. */
    MemoryCharge m_outputCharge;
    std::string m_input;
    std::optional<PartialRequest> m_partial;
    /** Earliest time at which the first bytes of the input may have arrived. */
    MonotonicTime m_inputAfter;
    /** Earliest time at which the latest bytes may have arrived. */
    MonotonicTime m_readAfter;
    /** Turn of the loop in which the connection was accepted; what is read in the next one may have arrived before. */
    std::uint64_t m_acceptedInTurn = 0;
    std::deque<std::shared_ptr<PipelinedExchange>> m_exchanges;
    /** An answer that is complete, or was begun, and has not been sent completely. */
    struct PendingAnswer {
        MonotonicTime begunAt;
        std::uint64_t bytes = 0;
    };
    /** Bytes that wait for their turn on the VM's link. */
    std::deque<std::string> m_outgoing;
    std::uint64_t m_outgoingBytes = 0;
    /** The client is on another VM, and the link is shared by a pacer. */
    bool m_usesLink = false;
    /** Complete answers of which the socket has not taken the last byte. */
    std::deque<PendingAnswer> m_pendingAnswers;
    /** Bytes that this connection has counted as waiting. */
    std::uint64_t m_waitingBytes = 0;
};

} // namespace nutmeghinge
