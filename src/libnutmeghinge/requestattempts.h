#pragma once

#include "events.h"
#include "request.h"
#include "routeplanner.h"

namespace nutmeghinge {

class EffectList;
class RequestReplies;
class RequestTable;
class TargetAdmission;

/**
 * Starts and ends the attempts of requests and keeps the counts that go with
 * them: the target's slots, what is in flight to each replica, and what an end
 * tells of the target's health. Borrows all that it is built with.
 */
class RequestAttempts
{
public:
    RequestAttempts(RequestTable &table, TargetAdmission &admission, RoutePlanner &planner, RequestReplies &replies);

    /** Sends the request to the target beside this node, which is the given member. */
    void sendToTarget(Request &request, const RouteToTarget &target, MemberSlot self, MonotonicTime deadline, MonotonicTime now, EffectList &effects);
    void forward(Request &request, const RouteToMember &to, MonotonicTime now, EffectList &effects);
    /** The request's attempt has ended. executionLimit: longest time that the target runs one request. */
    void end(Request &request, const AttemptFinished &finished, Duration executionLimit, MonotonicTime now);

private:
    void begin(Request &request, Request::Destination destination, MemberSlot member, Fence fence, MonotonicTime now, EffectList &effects);
    void learnOfTarget(const Request &request, const AttemptFinished &finished, Duration executionLimit, MonotonicTime now);

    RequestTable &m_table;
    TargetAdmission &m_admission;
    RoutePlanner &m_planner;
    RequestReplies &m_replies;
};

} // namespace nutmeghinge
