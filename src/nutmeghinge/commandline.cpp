#include "commandline.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <array>
#include <sstream>

namespace nutmeghinge {

namespace {

namespace options = boost::program_options;

constexpr std::array logLevels{"trace", "debug", "info", "warning", "error", "critical", "off"};
constexpr int usageExitCode = 2;

options::options_description makeDescription()
{
    options::options_description description("nutmeghinge, the node beside a target VM.\n"
                                             "Exit codes: 0 after a planned stop, 1 a listener cannot be opened,\n"
                                             "2 the command line or the settings are invalid.\n\n"
                                             "Options");
    description.add_options()("settings", options::value<std::string>(), "YAML file with the node's settings");
    description.add_options()("check", "check the settings, report all errors and exit");
    description.add_options()("log-level", options::value<std::string>(), "trace, debug, info, warning, error, critical or off; overrides the settings");
    description.add_options()("version", "print the version and exit");
    description.add_options()("help", "print this text and exit");
    return description;
}

bool isLogLevel(const std::string &level)
{
    return std::find(logLevels.begin(), logLevels.end(), level) != logLevels.end();
}

CommandLineEnd usageError(const std::string &reason)
{
    return {"nutmeghinge: " + reason + "; see --help\n", usageExitCode};
}

std::variant<CommandLine, CommandLineEnd> readOptions(const options::variables_map &values, const options::options_description &description)
{
    if (values.count("help") > 0) {
        std::ostringstream text;
        text << description;
        return CommandLineEnd{text.str(), 0};
    }
    if (values.count("version") > 0) {
        return CommandLineEnd{"nutmeghinge " NUTMEGHINGE_VERSION "\n", 0};
    }
    if (values.count("settings") == 0) {
        return usageError("--settings is missing");
    }
    CommandLine commandLine;
    commandLine.settingsFile = values["settings"].as<std::string>();
    commandLine.checkOnly = values.count("check") > 0;
    if (values.count("log-level") > 0) {
        commandLine.logLevel = values["log-level"].as<std::string>();
        if (!isLogLevel(*commandLine.logLevel)) {
            return usageError("unknown log level '" + *commandLine.logLevel + "'");
        }
    }
    return commandLine;
}

} // namespace

std::variant<CommandLine, CommandLineEnd> parseCommandLine(int argc, char **argv)
{
    const options::options_description description = makeDescription();
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
    } catch (const options::error &error) {
        return usageError(error.what());
    }
    return readOptions(values, description);
}

} // namespace nutmeghinge
