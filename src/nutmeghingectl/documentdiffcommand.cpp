#include "documentdiffcommand.h"

#include "commandarguments.h"
#include "documentdiff.h"
#include "documentfile.h"
#include "jsonreader.h"

#include <iostream>

namespace nutmeghinge {

namespace {

std::string changesText(const std::vector<DocumentChange> &changes)
{
    std::string text;
    for (const DocumentChange &change : changes) {
        text += change.field + ": " + (change.before.empty() ? "none" : change.before) + " -> " + (change.after.empty() ? "none" : change.after) + "\n    "
                + change.effect + '\n';
    }
    return text;
}

std::string changesJson(const std::vector<DocumentChange> &changes)
{
    nlohmann::json list = nlohmann::json::array();
    for (const DocumentChange &change : changes) {
        list.push_back({{"field", change.field}, {"before", change.before}, {"after", change.after}, {"effect", change.effect}});
    }
    return jsonToText(list) + '\n';
}

} // namespace

ExitCode DocumentDiffCommand::run(const std::vector<std::string> &arguments)
{
    boost::program_options::options_description description;
    description.add_options()("file", boost::program_options::value<std::string>()->required());
    description.add_options()("against", boost::program_options::value<std::string>()->required());
    description.add_options()("json", "");
    const ParsedArguments parsed = parseArguments(arguments, description, {"file"});
    if (const auto *fault = std::get_if<UsageFault>(&parsed)) {
        std::cerr << name() << ": " << fault->reason << '\n';
        return ExitCode::InvalidInput;
    }
    const auto &values = std::get<boost::program_options::variables_map>(parsed);
    std::vector<Document> documents;
    for (const char *option : {"against", "file"}) {
        const auto path = values[option].as<std::string>();
        const ParsedDocument document = readDocumentFile(path);
        if (const auto *faults = std::get_if<std::vector<DocumentFault>>(&document)) {
            std::cerr << faultsText(path, *faults);
            return ExitCode::InvalidInput;
        }
        documents.push_back(std::get<Document>(document));
    }
    const std::vector<DocumentChange> changes = differenceOf(documents[0], documents[1]);
    std::cout << (values.count("json") != 0 ? changesJson(changes) : changesText(changes));
    return ExitCode::Success;
}

} // namespace nutmeghinge
