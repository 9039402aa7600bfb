#pragma once

#include "endpoint.h"
#include "eventloop.h"

#include <list>
#include <memory>

namespace nutmeghinge {

/** Relays connections to one endpoint, and can close or stall them. */
class TcpRelay
{
public:
    TcpRelay(EventLoop &loop, Endpoint to);
    ~TcpRelay();
    TcpRelay(const TcpRelay &) = delete;
    TcpRelay &operator=(const TcpRelay &) = delete;

    const Endpoint &endpoint() const { return m_endpoint; }
    /** Returns the number of connections accepted since the start. */
    std::size_t accepted() const { return m_accepted; }
    /** Stalls the current connections: they stay open but transfer no more data. New connections work. */
    void stallCurrent();
    /** Closes the current connections. New connections work. */
    void closeCurrent();
    /** Sets whether new connections are stalled from the start. */
    void setStallNew(bool stall) { m_stallNew = stall; }
    /** Delays what new connections transfer, and the ends of their directions, by this time each way. */
    void setDelayNew(Duration delay) { m_delayNew = delay; }

private:
    struct Pair;

    void acceptPair();

    EventLoop &m_loop;
    Endpoint m_to;
    Endpoint m_endpoint;
    uv_tcp_t *m_listener;
    std::list<std::shared_ptr<Pair>> m_pairs;
    std::size_t m_accepted = 0;
    bool m_stallNew = false;
    Duration m_delayNew{0};
};

} // namespace nutmeghinge
