#pragma once

#include <boost/program_options.hpp>
#include <string>
#include <variant>
#include <vector>

namespace nutmeghinge {

/** Why the arguments of a command are invalid. */
struct UsageError {
    std::string reason;
};

using ParsedArguments = std::variant<boost::program_options::variables_map, UsageError>;

/**
 * Parses the arguments of a command. Arguments without an option name are assigned to
 * the positional options in order; a multitoken option takes all that follow.
 */
ParsedArguments parseArguments(const std::vector<std::string> &arguments,
                               const boost::program_options::options_description &options,
                               const std::vector<std::string> &positional);

} // namespace nutmeghinge
