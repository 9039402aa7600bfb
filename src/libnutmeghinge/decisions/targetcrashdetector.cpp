#include "targetcrashdetector.h"

#include <algorithm>
#include <iterator>

namespace nutmeghinge {

namespace {

/** An incarnation that follows later than this after a lost attempt does not explain it. */
constexpr Duration restartLimit = std::chrono::seconds(10);
/** Longest time between the first and the last connection that a crash breaks. */
constexpr Duration crashDuration = std::chrono::seconds(1);
/** More than the slots of a target. */
constexpr std::size_t lostAttemptsLimit = 1024;

} // namespace

bool TargetCrashDetector::attemptLost(LostAttempt lost)
{
    std::erase_if(m_lost, [&](const LostAttempt &earlier) { return lost.lostAt - earlier.lostAt > restartLimit; });
    if (m_lost.size() >= lostAttemptsLimit) {
        m_lost.erase(m_lost.begin());
    }
    const bool known = hasCrashed(lost.target);
    m_lost.push_back(lost);
    if (!known) {
        m_held.push_back(std::move(lost));
    }
    if (known || m_checking) {
        return false;
    }
    m_checking = true;
    return true;
}

void TargetCrashDetector::answered(const TargetInstance &target, const TargetName &by)
{
    if (!by.value().empty() && by != target.name) {
        m_replaced = target;
        m_replacedBy = by;
    }
}

bool TargetCrashDetector::checked(const TargetChecked &result)
{
    m_checking = false;
    if (result.state != TargetChecked::State::Refused || hasCrashed(result.target)) {
        return false;
    }
    m_crashed = result.target;
    return true;
}

bool TargetCrashDetector::replaced(const TargetInstance &former, MonotonicTime now)
{
    const bool explains =
        std::any_of(m_lost.begin(), m_lost.end(), [&](const LostAttempt &lost) { return lost.target == former && now - lost.lostAt <= restartLimit; });
    if (!explains || hasCrashed(former)) {
        return false;
    }
    m_crashed = former;
    return true;
}

std::vector<LostAttempt> TargetCrashDetector::lostAttempts(const TargetInstance &target) const
{
    std::vector<LostAttempt> found;
    std::copy_if(m_lost.begin(), m_lost.end(), std::back_inserter(found), [&](const LostAttempt &lost) { return lost.target == target; });
    if (!found.empty()) {
        // A connection that broke long before the others broke alone.
        const MonotonicTime last = found.back().lostAt;
        std::erase_if(found, [&](const LostAttempt &lost) { return last - lost.lostAt > crashDuration; });
    }
    return found;
}

} // namespace nutmeghinge
