#pragma once

#include "events.h"
#include "request.h"
#include "routeplanner.h"

namespace nutmeghinge {

class EffectList;
class MemberTargets;
class RequestReplies;
class RequestTable;
class TargetAdmission;

/**
 * Starts and ends the attempts of requests. Keeps the state that depends on
 * them up to date: the target's slots in use, the requests in flight to each
 * replica, and the target's health. All constructor arguments must outlive it.
 */
class RequestAttempts
{
public:
    RequestAttempts(RequestTable &table, TargetAdmission &admission, const MemberTargets &memberTargets, RoutePlanner &planner, RequestReplies &replies);

    /** How long an attempt at the target may take. */
    struct TargetTime {
        /** Time at which the node ends the attempt. */
        MonotonicTime deadline;
        /** Time at which the target is to stop working. */
        MonotonicTime workEnd;
    };

    /** Sends the request to the target beside this node. self: this node's own member slot. */
    void sendToTarget(Request &request, const RouteToTarget &target, MemberSlot self, const TargetTime &time, MonotonicTime now, EffectList &effects);
    /** Forwards the request to the given member. */
    void forward(Request &request, const RouteToMember &to, MemberSlot self, MonotonicTime now, WallTime wallTime, EffectList &effects);
    /** Ends the request's current attempt. executionLimit: longest time that the target runs one request. */
    void end(Request &request, const AttemptFinished &finished, Duration executionLimit, MonotonicTime now);

private:
    void begin(Request &request, Request::Destination destination, MemberSlot member, Fence fence, MonotonicTime now, EffectList &effects);
    void updateTargetHealth(const Request &request, const AttemptFinished &finished, Duration executionLimit, MonotonicTime now);

    RequestTable &m_table;
    TargetAdmission &m_admission;
    const MemberTargets &m_memberTargets;
    RoutePlanner &m_planner;
    RequestReplies &m_replies;
};

} // namespace nutmeghinge
