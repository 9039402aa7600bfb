#pragma once

#include <cstdint>
#include <string>

namespace nutmeghinge {

/** Shape of log lines. */
enum class LogFormat {
    Text,
    /** One JSON object a line. */
    Json,
};

/**
 * Sends the process's log to the standard output. A thread writes it; where the
 * reader of the output does not keep up, the oldest lines that wait are dropped,
 * and the caller never waits.
 * @param level name of a spdlog level; an unknown one turns the log off
 * @param node name of the node, on every line
 */
void setUpLog(const std::string &level, LogFormat format, const std::string &node);

/** Lines dropped so far because the reader of the output did not keep up. */
std::uint64_t droppedLogLines();

/** Writes out the lines that wait, for a bounded time. Nothing is logged afterwards. */
void endLog();

} // namespace nutmeghinge
