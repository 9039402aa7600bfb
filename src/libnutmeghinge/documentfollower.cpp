#include "documentfollower.h"

#include "cellcontext.h"
#include "effectlist.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

/** How long the platform holds a call open. An unresponsive connection delays a change by at most this and the adapter's timeout. */
constexpr Duration followTime = std::chrono::seconds(8);
constexpr Duration firstRetry = std::chrono::milliseconds(150);
/** The time limit for a document to come into force allows for two of these delays. */
constexpr Duration longestRetry = std::chrono::milliseconds(600);

} // namespace

DocumentFollower::DocumentFollower(CellContext &context)
    : m_context(context)
    , m_retry(firstRetry)
{
}

void DocumentFollower::tick(MonotonicTime now, EffectList &effects)
{
    if (m_calling || now < m_callAt) {
        return;
    }
    m_calling = true;
    m_sentAt = now;
    if (m_after) {
        // A waiting call that a silent platform never received would hide the platform's return until it times out.
        effects.add(FollowDocument{m_context.service, *m_after, m_lastCallFailed ? Duration(0) : followTime});
    } else {
        effects.add(ReadDocument{m_context.service, m_context.documents.highestRevisionSeen()});
    }
}

void DocumentFollower::tableRestored(MonotonicTime now)
{
    m_calling = false;
    m_after.reset();
    callAgain(now);
}

void DocumentFollower::documentRead(const DocumentRead &answer, MonotonicTime now, EffectList &effects)
{
    m_calling = false;
    if (std::holds_alternative<PlatformUnavailable>(answer.result)) {
        retryLater(now);
        return;
    }
    if (const auto *copy = std::get_if<DocumentCopy>(&answer.result)) {
        m_context.offerDocument(*copy, DocumentSource::Platform, now, effects);
    }
    m_context.documentFreshness.confirmedByPlatform(m_sentAt);
    m_after = answer.tableVersion;
    callAgain(now);
}

void DocumentFollower::documentFollowed(const DocumentFollowed &answer, MonotonicTime now, EffectList &effects)
{
    m_calling = false;
    if (std::holds_alternative<PlatformUnavailable>(answer.result)) {
        retryLater(now);
        return;
    }
    callAgain(now);
    if (std::holds_alternative<HistoryLost>(answer.result)) {
        m_after.reset();
        return;
    }
    m_after = answer.tableVersion;
    if (const auto *copy = std::get_if<DocumentCopy>(&answer.result)) {
        m_context.offerDocument(*copy, DocumentSource::Platform, now, effects);
    }
    m_context.documentFreshness.confirmedByPlatform(m_sentAt);
}

void DocumentFollower::callAgain(MonotonicTime now)
{
    m_lastCallFailed = false;
    m_retry = firstRetry;
    m_callAt = now;
}

void DocumentFollower::retryLater(MonotonicTime now)
{
    m_lastCallFailed = true;
    m_callAt = now + m_retry;
    m_retry = std::min(2 * m_retry, longestRetry);
}

} // namespace nutmeghinge
