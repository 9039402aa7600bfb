#pragma once

#include "fence.h"
#include "ids.h"
#include "units.h"

#include <string>
#include <vector>

namespace nutmeghinge {

struct CellRow;
struct Document;
struct Member;
struct MemberLoad;
struct OwnershipMap;
class RouteTable;

/**
 * What the routing of requests may know of ownership. Implemented by the Cell;
 * tests implement it by hand.
 */
class OwnershipView
{
public:
    virtual ~OwnershipView() = default;

    /** Document in force at this node, of its own service; null before one is known. */
    virtual const Document *document() const = 0;
    /** Document of a service of this node's cell; null where it has none. */
    virtual const Document *documentOf(const ServiceName &service) const = 0;
    /** Routes that the document states; null where services are found by their hosts alone. */
    virtual const RouteTable *routes() const { return nullptr; }
    /** Slot of this node; noMember before it is admitted. */
    virtual MemberSlot self() const = 0;
    /** Member of this node's cell; null if there is none of that slot. */
    virtual const Member *member(MemberSlot slot) const = 0;
    /** All members of this node's cell. */
    virtual const std::vector<Member> &members() const = 0;
    /** Newest map of this node's cell; a hint for routing, never a permission. */
    virtual const OwnershipMap &map() const = 0;
    /**
     * This node may start work on the shard at this time: it owns it, its lease
     * holds, the target has the grant, and neither node nor target leaves. For a
     * service that is not divided by key the shard is ignored.
     */
    virtual bool mayAdmit(ShardIndex shard, MonotonicTime now) const = 0;
    /** Time by which all work under the present lease must have ended; the latest time there is where the targets check fences. */
    virtual MonotonicTime workEndsBefore() const = 0;
    /** Loads of the members as last heard. */
    virtual const std::vector<MemberLoad> &loads() const = 0;
    /** Cell of another service that is addressed by this host; null if there is none. */
    virtual const CellRow *otherCell(const std::string &host) const = 0;
};

} // namespace nutmeghinge
