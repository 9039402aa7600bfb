#include "membertargets.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

/** Time after its last statement at which a target is forgotten. */
constexpr Duration statementLifetime = std::chrono::minutes(2);

} // namespace

void MemberTargets::answered(const NodeName &node, const std::optional<RelayedStatement> &relayed, MonotonicTime now)
{
    const auto known = m_targets.find(node);
    if (!relayed) {
        if (known != m_targets.end()) {
            known->second.limit.reset();
        }
        return;
    }
    if (known == m_targets.end()) {
        expire(now);
    }
    Known &entry = known == m_targets.end() ? m_targets[node] : known->second;
    if (entry.target != relayed->target) {
        entry = Known{relayed->target, std::nullopt, std::nullopt, now};
    }
    entry.statedAt = now;
    if (relayed->statement.problem.empty()) {
        entry.limit = relayed->statement.limit;
    }
    if (relayed->statement.leaving) {
        const MonotonicTime since = now - relayed->leavingFor;
        entry.leavingSince = std::min(entry.leavingSince.value_or(since), since);
    }
}

void MemberTargets::expire(MonotonicTime now)
{
    std::erase_if(m_targets, [&](const auto &entry) { return now - entry.second.statedAt > statementLifetime; });
}

std::optional<RelayedStatement> MemberTargets::statementFor(const NodeName &node, MonotonicTime now) const
{
    const auto known = m_targets.find(node);
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
