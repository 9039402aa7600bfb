#pragma once

#include "ids.h"
#include "units.h"

#include <cstdint>
#include <map>
#include <vector>

namespace nutmeghinge {

class EffectList;
struct CellContext;
struct CrashReport;
struct CrashSuspect;
struct Event;

/**
 * Spreads through the cell which requests are suspected of crashing targets. A node
 * sends what it finds out to all members at once, without the coordinator. Reports
 * may be lost, and members join or restart; so heartbeats state a fingerprint of
 * what the member knows, and the coordinator and a member that know different
 * things send each other everything.
 */
class CrashSuspectSpread
{
public:
    explicit CrashSuspectSpread(CellContext &context);

    /** Sends the changes that this node has made since the last call to all other members. */
    void sendChanges(EffectList &effects);
    /** As coordinator: compares what the member knows, as its heartbeat states it, and sends it everything if that differs. */
    void heartbeatArrived(MemberSlot from, std::uint64_t fingerprint, MonotonicTime now, EffectList &effects);
    void reportArrived(MemberSlot from, const CrashReport &report, const Event &event, EffectList &effects);

private:
    void send(MemberSlot to, const std::vector<CrashSuspect> &suspects, bool isComplete, EffectList &effects) const;

    CellContext &m_context;
    /** Time of the last complete report to each member. */
    std::map<MemberSlot, MonotonicTime> m_comparedAt;
};

} // namespace nutmeghinge
