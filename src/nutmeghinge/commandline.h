#pragma once

#include <optional>
#include <string>
#include <variant>

namespace nutmeghinge {

/** Options of the node's command line. */
struct CommandLine {
    std::string settingsFile;
    /** Only check the settings, then exit. */
    bool checkOnly = false;
    /** Overrides the log level of the settings. */
    std::optional<std::string> logLevel;
};

/** Text that the process prints before it exits: the help, the version or a usage error. */
struct CommandLineEnd {
    std::string text;
    int exitCode = 0;
};

/** Parses the command line; returns CommandLineEnd if the process must not start a node. */
std::variant<CommandLine, CommandLineEnd> parseCommandLine(int argc, char **argv);

} // namespace nutmeghinge
