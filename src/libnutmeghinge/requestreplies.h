#pragma once

#include "effectlist.h"
#include "refusal.h"
#include "request.h"
#include "requestrouter.h"

namespace nutmeghinge {

/** Creates the final answers of requests, their timeline records and the request counters. */
class RequestReplies
{
public:
    RequestCounters &counters() { return m_counters; }

    /**
     * Refuses the request. Its outcome is "unknown" if one of its attempts ended
     * with an unknown outcome, else "not run".
     */
    void refuse(const Request &request, Refusal refusal, EffectList &effects);
    /** Records that the caller received the target's answer. */
    void recordAnswered(const Request &request, std::uint16_t status, MonotonicTime now, EffectList &effects);
    /** Answers the request with the stored answer of an earlier request with the same Idempotency-Key. */
    void answerFromStore(const Request &request, const StoredAnswer &answer, EffectList &effects);
    /** Records that the caller's stream was reset after part of the answer had been sent. */
    void recordTruncatedAnswer(const Request &request, EffectList &effects);
    /** Adds a timeline record of the request to the effects. */
    void record(TimelineRecord::Kind kind, const Request &request, EffectList &effects, std::string detail = {});

private:
    void countUnknown(const Request &request);

    RequestCounters m_counters;
};

} // namespace nutmeghinge
