#include "crashsuspectspread.h"

#include "cellcontext.h"
#include "crashsuspects.h"
#include "effectlist.h"
#include "events.h"
#include "shardactivity.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

/** Suspects in one message, so that control messages queue behind it only for a short time. */
constexpr std::size_t suspectsPerMessage = 64;
/** Minimum interval between complete reports to a member: one on its way must not cause another. */
constexpr Duration completeReportInterval = std::chrono::seconds(1);

} // namespace

CrashSuspectSpread::CrashSuspectSpread(CellContext &context)
    : m_context(context)
{
}

void CrashSuspectSpread::sendChanges(EffectList &effects)
{
    CrashSuspects &suspects = m_context.activity.crashSuspects();
    if (!suspects.hasChanges() || m_context.self == noMember) {
        return;
    }
    const std::vector<CrashSuspect> changes = suspects.takeChanges();
    for (const Member &member : m_context.members.members()) {
        if (member.slot != m_context.self) {
            send(member.slot, changes, false, effects);
        }
    }
}

void CrashSuspectSpread::heartbeatArrived(MemberSlot from, std::uint64_t fingerprint, MonotonicTime now, EffectList &effects)
{
    const CrashSuspects &suspects = m_context.activity.crashSuspects();
    if (fingerprint == suspects.fingerprint()) {
        return;
    }
    const auto [entry, isFirst] = m_comparedAt.try_emplace(from, now);
    if (!isFirst && now < entry->second + completeReportInterval) {
        return;
    }
    entry->second = now;
    send(from, suspects.all(), true, effects);
    std::erase_if(m_comparedAt, [&](const auto &compared) { return now >= compared.second + completeReportInterval; });
}

void CrashSuspectSpread::reportArrived(MemberSlot from, const CrashReport &report, const Event &event, EffectList &effects)
{
    CrashSuspects &suspects = m_context.activity.crashSuspects();
    for (const CrashSuspect &suspect : report.suspects) {
        suspects.merge(suspect, event.wallTime);
    }
    if (report.completeFingerprint && *report.completeFingerprint != suspects.fingerprint()) {
        send(from, suspects.all(), false, effects);
    }
}

void CrashSuspectSpread::send(MemberSlot to, const std::vector<CrashSuspect> &suspects, bool isComplete, EffectList &effects) const
{
    std::size_t sent = 0;
    do {
        CrashReport report;
        const std::size_t end = std::min(suspects.size(), sent + suspectsPerMessage);
        report.suspects.assign(suspects.begin() + static_cast<std::ptrdiff_t>(sent), suspects.begin() + static_cast<std::ptrdiff_t>(end));
        sent = end;
        if (isComplete && sent == suspects.size()) {
            report.completeFingerprint = m_context.activity.crashSuspects().fingerprint();
        }
        m_context.send(to, std::move(report), effects);
    } while (sent < suspects.size());
}

} // namespace nutmeghinge
