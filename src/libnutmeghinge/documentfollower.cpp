#include "documentfollower.h"

#include "cellcontext.h"
#include "effectlist.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

/** How long the platform holds a call open while the coordinator confirms that there is no newer document. */
constexpr Duration confirmedWait = std::chrono::seconds(8);
/** The same while only this call would tell of one. */
constexpr Duration unconfirmedWait = std::chrono::milliseconds(800);
/** Time for the answer to a call that waits, in addition to the waiting. If the platform is slower, the next call does not wait and has the longer time. */
constexpr Duration waitingAnswerTime = std::chrono::milliseconds(500);
constexpr Duration answerTime = std::chrono::milliseconds(1500);
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
    if (m_calling && isWaitUnconfirmed(now)) {
        retryLater(now);
        m_calling = false;
    }
    if (!m_calling && now >= m_callAt) {
        sendCall(now, effects);
    }
}

bool DocumentFollower::isWaitUnconfirmed(MonotonicTime now) const
{
    return m_wait > unconfirmedWait && now >= m_sentAt + unconfirmedWait + waitingAnswerTime && !m_context.documentFreshness.isConfirmedByCoordinator(now);
}

void DocumentFollower::sendCall(MonotonicTime now, EffectList &effects)
{
    m_calling = true;
    m_sentAt = now;
    m_wait = Duration(0);
    if (!m_after) {
        effects.add(ReadDocument{m_context.service, m_context.documents.highestRevisionSeen()});
        return;
    }
    if (m_lastCallFailed) {
        // A waiting call that a silent platform never received would hide the platform's return until it times out.
        effects.add(FollowDocument{m_context.service, *m_after, Duration(0), answerTime});
        return;
    }
    m_wait = m_context.documentFreshness.isConfirmedByCoordinator(now) ? confirmedWait : unconfirmedWait;
    effects.add(FollowDocument{m_context.service, *m_after, m_wait, m_wait + waitingAnswerTime});
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
    const bool hasChanged = !std::holds_alternative<RowAbsent>(answer.result);
    m_context.documentFreshness.confirmedByPlatform(hasChanged ? m_sentAt : noChangeUntil(now));
}

MonotonicTime DocumentFollower::noChangeUntil(MonotonicTime now) const
{
    const bool waited = now >= m_sentAt + m_wait;
    return waited ? m_sentAt + m_wait : m_sentAt;
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
    m_callAt = std::max(now, m_sentAt + m_retry);
    m_retry = std::min(2 * m_retry, longestRetry);
}

} // namespace nutmeghinge
