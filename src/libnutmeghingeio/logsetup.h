#pragma once

#include <cstdint>
#include <string>

namespace nutmeghinge {

/** Format of log lines. */
enum class LogFormat {
    Text,
    /** One JSON object per line. */
    Json,
};

/**
 * Sends the process's log to the standard output. A thread of its own writes the
 * lines, so logging never blocks: if the reader of the output does not keep up,
 * the oldest unwritten lines are dropped.
 * @param level name of a spdlog level; an unknown one turns the log off
 * @param node name of the node, part of every line
 */
void setUpLog(const std::string &level, LogFormat format, const std::string &node);

/** Returns the number of lines dropped so far because the reader of the output did not keep up. */
std::uint64_t droppedLogLines();

/** Flushes the log within a bounded time and shuts it down. Later lines are discarded. */
void shutDownLog();

} // namespace nutmeghinge
