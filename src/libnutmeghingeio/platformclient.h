#pragma once

#include "effects.h"
#include "endpoint.h"
#include "events.h"

#include <functional>
#include <memory>

namespace nutmeghinge {

class EventLoop;
class HttpClient;

/**
 * Speaks to the platform's table service and object store. Runs the platform
 * effects; each ends with one event. Borrows loop and client.
 */
class PlatformClient
{
public:
    using EventFunction = std::function<void(EventBody)>;

    PlatformClient(EventLoop &loop, HttpClient &client, Endpoint platform, EventFunction events);
    ~PlatformClient();
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    void run(const ReadCellRow &effect);
    void run(const WriteCellRow &effect);
    void run(const ReadMemberRows &effect);
    void run(const WriteMemberRow &effect);
    void run(const ReadDocument &effect);
    void run(const ReadCells &effect);

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace nutmeghinge
