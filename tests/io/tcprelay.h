#pragma once

#include "endpoint.h"
#include "eventloop.h"

#include <list>
#include <memory>

namespace nutmeghinge {

/** Passes bytes on between its callers and one endpoint, and can break the connections that it carries. */
class TcpRelay
{
public:
    TcpRelay(EventLoop &loop, Endpoint to);
    ~TcpRelay();
    TcpRelay(const TcpRelay &) = delete;
    TcpRelay &operator=(const TcpRelay &) = delete;

    const Endpoint &endpoint() const { return m_endpoint; }
    /** Connections taken since the start. */
    std::size_t accepted() const { return m_accepted; }
    /** The present connections stay open and carry nothing any more; new ones work. */
    void silencePresent();
    /** Closes the present connections. */
    void dropPresent();
    /** Also silences each new connection. */
    void setSilenceNew(bool silence) { m_silenceNew = silence; }

private:
    struct Pair;

    void acceptPair();

    EventLoop &m_loop;
    Endpoint m_to;
    Endpoint m_endpoint;
    uv_tcp_t *m_listener;
    std::list<std::shared_ptr<Pair>> m_pairs;
    std::size_t m_accepted = 0;
    bool m_silenceNew = false;
};

} // namespace nutmeghinge
