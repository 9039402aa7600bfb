#pragma once

#include "rawconnection.h"

#include <memory>
#include <vector>

namespace nutmeghinge {

/** A loopback listener. The test sends the raw bytes of each answer itself. */
class RawServer
{
public:
    using DataFunction = std::function<void(RawConnection &)>;

    /** dataFunction is called whenever a connection has received bytes. */
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
