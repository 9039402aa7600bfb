#pragma once

#include <boost/program_options.hpp>
#include <string>
#include <variant>
#include <vector>

namespace nutmeghinge {

/** Why the arguments of a command cannot be used. */
struct UsageFault {
    std::string reason;
};

using ParsedArguments = std::variant<boost::program_options::variables_map, UsageFault>;

/** Reads a command's arguments; those without a name take the positional names in their order,
 * and one of several values takes all that follow. */
ParsedArguments parseArguments(const std::vector<std::string> &arguments,
                               const boost::program_options::options_description &options,
                               const std::vector<std::string> &positional);

} // namespace nutmeghinge
