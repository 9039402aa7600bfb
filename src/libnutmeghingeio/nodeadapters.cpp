#include "nodeadapters.h"

#include "announcementserver.h"
#include "nativerequestprotocol.h"
#include "nodesettings.h"
#include "platformclient.h"

namespace nutmeghinge {

NodeAdapters makeOwnAdapters(const NodeSettings &settings)
{
    NodeAdapters adapters;
    adapters.requests = std::make_unique<NativeRequestProtocol>();
    adapters.makePlatform = [platform = settings.platform](EventLoop &loop, HttpClient &client, PlatformPort::EventFunction events) {
        return std::make_unique<PlatformClient>(loop, client, platform, std::move(events));
    };
    adapters.makeAnnouncements = [](EventLoop &loop, ClientLimits limits, AnnouncementPort::EventFunction events) {
        return std::make_unique<AnnouncementServer>(loop, std::move(events), limits);
    };
    return adapters;
}

} // namespace nutmeghinge
