#pragma once

#include "endpoint.h"
#include "platformport.h"

#include <memory>

namespace nutmeghinge {

class EventLoop;
class HttpClient;

/**
 * Accesses the platform's table service and object store by nutmeghinge's native
 * protocol. Borrows loop and client.
 */
class PlatformClient : public PlatformPort
{
public:
    PlatformClient(EventLoop &loop, HttpClient &client, Endpoint platform, EventFunction events);
    ~PlatformClient() override;
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    void run(const ReadCellRow &effect) override;
    void run(const WriteCellRow &effect) override;
    void run(const ReadMemberRows &effect) override;
    void run(const WriteMemberRow &effect) override;
    void run(const ReadDocument &effect) override;
    void run(const FollowDocument &effect) override;
    void run(const ReadCells &effect) override;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace nutmeghinge
