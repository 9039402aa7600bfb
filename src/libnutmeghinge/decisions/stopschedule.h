#pragma once

#include "ids.h"
#include "units.h"

#include <map>
#include <optional>

namespace nutmeghinge {

struct Request;

/**
 * Decides what a node that was told to stop may still begin, how long a target may
 * work at it, and when the node ends what is running. Answers a planned stop under
 * load: the process is ended from outside after a fixed time, and a request at which a
 * target is at work then is lost. A target therefore gets no more time than its callers'
 * node has left, and answers by itself when that is over; what is not expected to end
 * by then is refused at once. As a stop may come at any time, no attempt at a target
 * gets more time than a stop would leave it. Without a limit it decides nothing.
 */
class StopSchedule
{
public:
    /** Sets the time after a stop request at which the process is ended from outside; zero: never. */
    void setLimit(Duration limit) { m_limit = limit; }
    /** Sets how late the node has handled events lately. Targets and other nodes are told to end that much sooner, so that their answers are still passed on.
     */
    void setLag(Duration lag) { m_lag = lag; }
    /** Counts the limit from this time. A later request has no effect: it does not prolong the life of the process. */
    void stopRequested(MonotonicTime at);

    /** Records that the member breaks off the requests of its callers at the given time. */
    void memberStops(MemberSlot member, MonotonicTime requestsEnd, MonotonicTime now);

    /**
     * Returns whether an attempt of the request may begin: its time limit, or the time that its objective gives it, ends before this
     * node, or the one that received it from its caller, breaks it off.
     */
    bool mayBegin(const Request &request, MonotonicTime now) const;
    /** Returns whether a request of another node may be passed on: only if its time limit ends first, as the target would not know this node's stop. */
    bool mayPassOn(const Request &request) const;
    /** Returns the time at which a target that begins the request now must stop working at it; MonotonicTime::max() without a limit. */
    MonotonicTime workEnd(const Request &request, MonotonicTime now) const;
    /**
     * Returns how long a target may work at an attempt beside a node with the given limit, so that its answer is in time if a stop
     * request comes as it begins; Duration::max() without a limit.
     */
    static Duration longestWork(Duration limit);

    /** Returns the time at which the node answers the requests of its callers itself; MonotonicTime::max() if never. */
    MonotonicTime ownRequestsEnd() const;
    /** Returns the time at which a member breaks off the requests of its callers, as far as it has said so; else MonotonicTime::max(). */
    MonotonicTime requestsEndOf(MemberSlot member) const;
    /** Returns the time that other nodes are told for that: earlier by the time for which their answers may wait here. */
    MonotonicTime statedRequestsEnd() const;
    /**
     * Returns whether the node answers the requests of its callers itself from now on, because the process is about to be ended. It
     * first handles the answers that have arrived: lag is as in Event.
     */
    bool endsOwnRequests(MonotonicTime now, Duration lag = Duration(0)) const { return now - lag >= ownRequestsEnd() || now >= peerRequestsEnd(); }
    /**
     * Returns whether the node may refuse the connections of callers: none has sent a request for a while, or the process is about to
     * be ended. Until then a caller is better served, or refused with the time at which to return, than left without a connection.
     */
    bool mayCloseToCallers(MonotonicTime now, MonotonicTime lastArrival) const;
    /** Returns whether the node ends the requests of other nodes. They answer their callers themselves, so theirs may run longer. */
    bool endsPeerRequests(MonotonicTime now) const { return now >= peerRequestsEnd(); }

private:
    /** Returns the time at which a stop that is known of ends the target's work; MonotonicTime::max() if none does. */
    MonotonicTime stopEnd(const Request &request) const;
    MonotonicTime peerRequestsEnd() const;

    Duration m_limit{0};
    Duration m_lag{0};
    std::optional<MonotonicTime> m_requestedAt;
    /** Times at which other members break off the requests of their callers. */
    std::map<MemberSlot, MonotonicTime> m_members;
};

} // namespace nutmeghinge
