#pragma once

#include "rawconnection.h"

#include <memory>
#include <vector>

namespace nutmeghinge {

/** A listener on loopback whose connections the test answers by hand. */
class RawServer
{
public:
    using DataFunction = std::function<void(RawConnection &)>;

    /** The function is called with each part that a connection receives. */
    RawServer(EventLoop &loop, DataFunction dataFunction);
    ~RawServer();
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    const Endpoint &endpoint() const { return m_endpoint; }
    std::vector<std::unique_ptr<RawConnection>> &connections() { return m_connections; }

private:
    EventLoop &m_loop;
    DataFunction m_dataFunction;
    uv_tcp_t *m_listener;
    Endpoint m_endpoint;
    std::vector<std::unique_ptr<RawConnection>> m_connections;
};

} // namespace nutmeghinge
