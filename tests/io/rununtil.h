#pragma once

#include <functional>

namespace nutmeghinge {

class EventLoop;

/** Runs the loop until the condition holds. Returns false if it still does not after a minute. */
bool runUntil(EventLoop &loop, const std::function<bool()> &condition);

/** Runs the loop for some turns, for what must not happen. */
void runTurns(EventLoop &loop, int turns);

} // namespace nutmeghinge
