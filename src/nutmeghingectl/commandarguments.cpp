#include "commandarguments.h"

namespace nutmeghinge {

namespace options = boost::program_options;

ParsedArguments
parseArguments(const std::vector<std::string> &arguments, const options::options_description &description, const std::vector<std::string> &positional)
{
    constexpr int unbounded = -1;
    options::positional_options_description positions;
    for (const std::string &name : positional) {
        const bool isMultitoken = description.find(name, false).semantic()->max_tokens() > 1;
        positions.add(name.c_str(), isMultitoken ? unbounded : 1);
    }
    try {
        options::variables_map values;
        options::store(options::command_line_parser(arguments).options(description).positional(positions).run(), values);
        options::notify(values);
        return values;
    } catch (const options::error &error) {
        return UsageError{error.what()};
    }
}

} // namespace nutmeghinge
