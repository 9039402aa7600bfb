#include "linkload.h"

#include "request.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

/** Number of answers over which the average size is smoothed. */
constexpr double answerWindow = 16;
/** Answers differ in size, and a part of the link is left to other traffic: waits are expected to be longer by this factor. */
constexpr double waitMargin = 1.5;
/** Average size of answers below which a work class is not limited by the link. */
constexpr double smallAnswerBytes = 8192;

bool usesLink(const Request &request)
{
    return request.hops > 0;
}

} // namespace

void LinkLoad::answered(std::uint32_t workClass, std::uint64_t bytes)
{
    const auto size = static_cast<double>(bytes);
    const auto [known, isNew] = m_answerBytes.try_emplace(workClass, size);
    if (!isNew) {
        known->second += (size - known->second) / answerWindow;
    }
}

double LinkLoad::expectedBytes(std::uint32_t workClass) const
{
    const auto known = m_answerBytes.find(workClass);
    return known == m_answerBytes.end() ? 0 : known->second;
}

void LinkLoad::admitted(Request &request)
{
    if (usesLink(request) && request.expectedAnswerBytes == 0) {
        request.expectedAnswerBytes = static_cast<std::uint64_t>(expectedBytes(request.workClass));
        m_expectedBytes += request.expectedAnswerBytes;
    }
}

void LinkLoad::ended(Request &request)
{
    m_expectedBytes -= request.expectedAnswerBytes;
    request.expectedAnswerBytes = 0;
}

Duration LinkLoad::timeFor(double bytes) const
{
    return m_bytesPerSecond > 0 ? std::chrono::duration_cast<Duration>(std::chrono::duration<double>(waitMargin * bytes / m_bytesPerSecond)) : Duration::zero();
}

Duration LinkLoad::wait() const
{
    return timeFor(static_cast<double>(m_waitingBytes + m_expectedBytes));
}

bool LinkLoad::admits(const Request &request, Duration serviceTime, MonotonicTime now) const
{
    const double bytes = expectedBytes(request.workClass);
    if (!usesLink(request) || bytes < smallAnswerBytes) {
        return true;
    }
    const Duration transfer = timeFor(bytes);
    if (now + serviceTime + transfer > std::min(request.objectiveAt, request.deadline)) {
        return wait() <= serviceTime && now + serviceTime + transfer <= request.deadline;
    }
    return now + std::max(serviceTime, wait()) + transfer <= std::min(request.objectiveAt, request.deadline);
}

} // namespace nutmeghinge
