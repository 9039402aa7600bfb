#pragma once

#include "units.h"

#include <cstdint>

namespace nutmeghinge {

struct Request;

/**
 * Smooths how long the target takes for a request, so that members of a service
 * can be compared: targets of one service differ in speed, and a fast one is
 * full only with more requests. Requests of different kinds take different
 * times, so each is measured against the objective of its kind.
 */
class TargetPace
{
public:
    /** Adds the time from sending a request to the target until its answer was complete. */
    void addSample(const Request &request, Duration time);
    /** Returns the time per second of objective; zero before the first answer. A request without objective counts as if it had one second. */
    Duration timePerSecond() const { return m_timePerSecond; }

private:
    Duration m_timePerSecond{0};
    std::uint32_t m_samples = 0;
};

} // namespace nutmeghinge
