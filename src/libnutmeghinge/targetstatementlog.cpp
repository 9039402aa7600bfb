#include "targetstatementlog.h"

#include "effectlist.h"

namespace nutmeghinge {

namespace {

using Change = TargetRateLimit::Change;

constexpr Duration minimumInterval = std::chrono::seconds(1);

void add(TimelineRecord::Kind kind, std::string detail, EffectList &effects)
{
    TimelineRecord record;
    record.kind = kind;
    record.detail = std::move(detail);
    effects.record(std::move(record));
}

} // namespace

void TargetStatementLog::record(const TargetStated &stated,
                                Change change,
                                std::optional<RequestRate> before,
                                std::optional<RequestRate> now,
                                MonotonicTime at,
                                EffectList &effects)
{
    if (!stated.statement.problem.empty() && at >= m_problemAt + minimumInterval) {
        m_problemAt = at;
        add(TimelineRecord::Kind::BadInput, "answer of target " + stated.target.name.value() + ": " + stated.statement.problem, effects);
    }
    if (change == Change::None) {
        return;
    }
    if (change == Change::Ended) {
        add(TimelineRecord::Kind::TargetLimitEnded, stated.target.name.value() + " no longer names a limit, which was " + toText(*before), effects);
        return;
    }
    if (change != Change::Named && at < m_changeAt + minimumInterval) {
        ++m_changesOmitted;
        return;
    }
    m_changeAt = at;
    std::string detail = stated.target.name.value() + " takes " + toText(*now);
    detail += before ? ", before " + toText(*before) : "";
    detail += stated.source == TargetStated::Source::Peer ? ", learned from another node" : "";
    detail += m_changesOmitted > 0 ? ", " + std::to_string(m_changesOmitted) + " changes before this one were not recorded" : "";
    m_changesOmitted = 0;
    add(TimelineRecord::Kind::TargetLimitNamed, std::move(detail), effects);
}

} // namespace nutmeghinge
