#pragma once

#include "announcementport.h"
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

/** The adapters that differ with the protocol of platform, targets and callers. */
struct NodeAdapters {
    std::unique_ptr<const RequestProtocol> requests;
    /** Null: the product's own documents. */
    std::unique_ptr<const DocumentFormat> documents;
    std::function<std::unique_ptr<PlatformPort>(EventLoop &, HttpClient &, PlatformPort::EventFunction)> makePlatform;
    std::function<std::unique_ptr<AnnouncementPort>(EventLoop &, AnnouncementPort::EventFunction)> makeAnnouncements;
    Timings timings;
};

/** Adapters of the product's own protocol. */
NodeAdapters makeOwnAdapters(const NodeSettings &settings);

} // namespace nutmeghinge
