#pragma once

#include <functional>

namespace nutmeghinge {

class EventLoop;

/** Runs the loop until the condition is true. Returns false if it is still false after a minute. */
bool runUntil(EventLoop &loop, const std::function<bool()> &condition);

/** Runs the loop for a number of iterations, to check afterwards that something did not happen. */
void runIterations(EventLoop &loop, int iterations);

} // namespace nutmeghinge
