#pragma once

#include <string>

namespace nutmeghinge {

/** Shape of log lines. */
enum class LogFormat {
    Text,
    /** One JSON object a line. */
    Json,
};

/**
 * Sends the process's log to the standard error stream.
 * @param level name of a spdlog level; an unknown one turns the log off
 * @param node name of the node, on every line
 */
void setUpLog(const std::string &level, LogFormat format, const std::string &node);

} // namespace nutmeghinge
