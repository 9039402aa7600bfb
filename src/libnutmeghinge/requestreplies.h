#pragma once

#include "effectlist.h"
#include "refusal.h"
#include "request.h"
#include "requestrouter.h"

namespace nutmeghinge {

/** Makes the final answers of requests, their records on the time line and the counters. */
class RequestReplies
{
public:
    RequestCounters &counters() { return m_counters; }

    /**
     * Refuses the request. The outcome is "not run" only if no attempt of it
     * ended otherwise.
     */
    void refuse(const Request &request, Refusal refusal, EffectList &effects);
    /** The target's answer went to the caller. */
    void answered(const Request &request, std::uint16_t status, MonotonicTime now, EffectList &effects);
    /** Gives the answer of an earlier request of the same idempotency key. */
    void answerFromStore(const Request &request, const StoredAnswer &answer, EffectList &effects);
    /** The caller's stream was reset after part of an answer. */
    void cutOff(const Request &request, EffectList &effects);
    void record(TimelineRecord::Kind kind, const Request &request, EffectList &effects, std::string detail = {});

private:
    RequestCounters m_counters;
};

} // namespace nutmeghinge
