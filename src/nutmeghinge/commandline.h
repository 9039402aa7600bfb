#pragma once

#include <optional>
#include <string>
#include <variant>

namespace nutmeghinge {

/** What the command line of the node asks for. */
struct CommandLine {
    std::string settingsFile;
    /** Check the settings and end. */
    bool checkOnly = false;
    /** Goes before the settings' level. */
    std::optional<std::string> logLevel;
};

/** The process has to print the text and end: help, version, or a fault of usage. */
struct CommandLineEnd {
    std::string text;
    int exitCode = 0;
};

std::variant<CommandLine, CommandLineEnd> parseCommandLine(int argc, char **argv);

} // namespace nutmeghinge
