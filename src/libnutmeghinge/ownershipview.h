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
 * Read-only view of shard ownership for the routing of requests. Implemented by
 * the Cell, and by fakes in tests.
 */
class OwnershipView
{
public:
    virtual ~OwnershipView() = default;

    /** Returns the document in force for this node's own service; null before one is known. */
    virtual const Document *document() const = 0;
    /** Returns the document of a service of this node's cell; null if there is none. */
    virtual const Document *documentOf(const ServiceName &service) const = 0;
    /** Returns the routes of the document; null if services are found by their hosts only. */
    virtual const RouteTable *routes() const { return nullptr; }
    /** Returns the slot of this node; noMember before it is admitted. */
    virtual MemberSlot self() const = 0;
    /** Returns the member of this node's cell in the slot; null if there is none. */
    virtual const Member *member(MemberSlot slot) const = 0;
    /** Returns all members of this node's cell. */
    virtual const std::vector<Member> &members() const = 0;
    /** Returns the newest known map of this node's cell. It is a hint for routing and gives no permission to run requests. */
    virtual const OwnershipMap &map() const = 0;
    /**
     * Returns whether this node may start a request on the shard at this time: it
     * owns the shard, its lease is valid, the target has the grant, and neither
     * node nor target is leaving. The shard is ignored if the service is not
     * sharded by key.
     */
    virtual bool mayAdmit(ShardIndex shard, MonotonicTime now) const = 0;
    /** Returns whether the target beside this node is about to stop as planned, so that its end is no crash. */
    virtual bool isTargetDraining() const { return false; }
    /** Returns the time by which all requests under the present lease must have ended; MonotonicTime::max() if targets check fences or hold target leases. */
    virtual MonotonicTime workDeadline() const = 0;
    /** Returns the loads of the members as last received. */
    virtual const std::vector<MemberLoad> &loads() const = 0;
    /** Returns the cell of another service whose name is this host; null if there is none. */
    virtual const CellRow *otherCell(const std::string &host) const = 0;
};

} // namespace nutmeghinge
