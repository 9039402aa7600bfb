#include "documentcheckcommand.h"

#include "commandarguments.h"
#include "documentfile.h"

#include <iostream>

namespace nutmeghinge {

ExitCode DocumentCheckCommand::run(const std::vector<std::string> &arguments)
{
    boost::program_options::options_description description;
    description.add_options()("file", boost::program_options::value<std::string>()->required());
    description.add_options()("json", "");
    const ParsedArguments parsed = parseArguments(arguments, description, {"file"});
    if (const auto *error = std::get_if<UsageError>(&parsed)) {
        std::cerr << name() << ": " << error->reason << '\n';
        return ExitCode::InvalidInput;
    }
    const auto &values = std::get<boost::program_options::variables_map>(parsed);
    const auto path = values["file"].as<std::string>();
    const bool asJson = values.count("json") != 0;
    const ParsedDocument document = readDocumentFile(path);
    if (const auto *errors = std::get_if<std::vector<DocumentError>>(&document)) {
        (asJson ? std::cout : std::cerr) << (asJson ? errorsJson(*errors) + '\n' : errorsText(path, *errors));
        return ExitCode::InvalidInput;
    }
    std::cout << (asJson ? "[]" : path + ": ok") << '\n';
    return ExitCode::Success;
}

} // namespace nutmeghinge
