#pragma once

#include "announcementport.h"
#include "clientlimits.h"
#include "documentformat.h"
#include "platformport.h"
#include "requestprotocol.h"
#include "timings.h"

#include <functional>
#include <memory>

namespace nutmeghinge {

class EventLoop;
class HttpClient;
struct NodeSettings;

/** The adapters that depend on the protocol spoken with the platform, targets and callers. */
struct NodeAdapters {
    std::unique_ptr<const RequestProtocol> requests;
    /** Format of the documents; null for nutmeghinge's native format. */
    std::unique_ptr<const DocumentFormat> documents;
    std::function<std::unique_ptr<PlatformPort>(EventLoop &, HttpClient &, PlatformPort::EventFunction)> makePlatform;
    std::function<std::unique_ptr<AnnouncementPort>(EventLoop &, ClientLimits, AnnouncementPort::EventFunction)> makeAnnouncements;
    Timings timings;
};

/** Creates the adapters of nutmeghinge's native protocol, named "own" in the settings. */
NodeAdapters makeOwnAdapters(const NodeSettings &settings);

} // namespace nutmeghinge
