#include "targetpace.h"

#include "request.h"
#include "workclass.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

constexpr Duration second = std::chrono::seconds(1);
/** A longer sample counts as this multiple of the average, so that one long request does not look like a slow target. */
constexpr int maximumSampleInAverages = 4;
/** Number of samples over which the pace is smoothed: enough that the spread of the work does not look like a difference in speed. */
constexpr std::uint32_t window = 64;

} // namespace

void TargetPace::addSample(const Request &request, Duration time)
{
    const Duration objective = objectiveOf(request.workClass);
    const Duration sample = objective > Duration::zero() ? time * second.count() / objective.count() : time;
    m_samples = std::min(m_samples + 1, window);
    const Duration bounded = m_samples == 1 ? sample : std::min(sample, m_timePerSecond * maximumSampleInAverages);
    m_timePerSecond += (bounded - m_timePerSecond) / static_cast<Duration::rep>(m_samples);
}

} // namespace nutmeghinge
