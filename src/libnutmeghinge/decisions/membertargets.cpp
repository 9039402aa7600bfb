#include "membertargets.h"

#include <algorithm>

namespace nutmeghinge {

void MemberTargets::answered(MemberSlot member, const std::optional<RelayedStatement> &relayed, MonotonicTime now)
{
    const auto known = m_targets.find(member);
    if (!relayed) {
        if (known != m_targets.end()) {
            known->second.limit.reset();
        }
        return;
    }
    Known &entry = known == m_targets.end() ? m_targets[member] : known->second;
    if (entry.target != relayed->target) {
        entry = Known{relayed->target, std::nullopt, std::nullopt};
    }
    if (relayed->statement.problem.empty()) {
        entry.limit = relayed->statement.limit;
    }
    if (relayed->statement.leaving) {
        const MonotonicTime since = now - relayed->leavingFor;
        entry.leavingSince = std::min(entry.leavingSince.value_or(since), since);
    }
}

void MemberTargets::keepOnly(const std::function<bool(MemberSlot)> &isMember)
{
    std::erase_if(m_targets, [&](const auto &entry) { return !isMember(entry.first); });
}

std::optional<RelayedStatement> MemberTargets::statementFor(MemberSlot member, MonotonicTime now) const
{
    const auto known = m_targets.find(member);
    if (known == m_targets.end() || (!known->second.limit && !known->second.leavingSince)) {
        return std::nullopt;
    }
    RelayedStatement relayed;
    relayed.target = known->second.target;
    relayed.statement.limit = known->second.limit;
    if (known->second.leavingSince) {
        relayed.statement.leaving = true;
        relayed.leavingFor = now - *known->second.leavingSince;
    }
    return relayed;
}

} // namespace nutmeghinge
