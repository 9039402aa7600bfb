#include "documentdiffcommand.h"

#include "commandarguments.h"
#include "documentdiff.h"
#include "documentfile.h"
#include "documentstore.h"
#include "endpointtext.h"
#include "jsonreader.h"
#include "numberparsing.h"

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

using Values = boost::program_options::variables_map;
using DocumentOrExit = std::variant<Document, ExitCode>;

DocumentOrExit loadDocument(const std::string &path)
{
    const ParsedDocument document = readDocumentFile(path);
    if (const auto *errors = std::get_if<std::vector<DocumentError>>(&document)) {
        std::cerr << errorsText(path, *errors);
        return ExitCode::InvalidInput;
    }
    return std::get<Document>(document);
}

DocumentOrExit loadDocument(const ServiceName &service, std::optional<DocumentRevision> revision, const Values &values)
{
    const auto platform = endpointFromText(values.count("platform") != 0 ? values["platform"].as<std::string>() : std::string());
    if (!platform || platform->isEmpty()) {
        std::cerr << "document diff: comparing with a revision requires --platform ADDRESS:PORT\n";
        return ExitCode::InvalidInput;
    }
    DocumentStore store(*platform);
    const auto found = store.textOf(service, revision);
    if (const auto *error = std::get_if<StoreError>(&found)) {
        std::cerr << service.value() << ": " << error->reason << '\n';
        return ExitCode::Failure;
    }
    const auto &text = std::get<DocumentText>(found);
    const ParsedDocument document = parseDocument(text.text);
    if (const auto *errors = std::get_if<std::vector<DocumentError>>(&document)) {
        std::cerr << errorsText(text.entry.object, *errors);
        return ExitCode::Failure;
    }
    return std::get<Document>(document);
}

/** Loads the document that the file is compared with: --against is a revision or a file; without it, the revision in force is used. */
DocumentOrExit loadBaseDocument(const Document &edited, const Values &values)
{
    if (values.count("against") == 0) {
        return loadDocument(edited.service, std::nullopt, values);
    }
    const auto against = values["against"].as<std::string>();
    if (const auto number = parseNumber(against)) {
        return loadDocument(edited.service, DocumentRevision(*number), values);
    }
    return loadDocument(against);
}

} // namespace

ExitCode DocumentDiffCommand::run(const std::vector<std::string> &arguments)
{
    boost::program_options::options_description description;
    description.add_options()("file", boost::program_options::value<std::string>()->required());
    description.add_options()("against", boost::program_options::value<std::string>());
    description.add_options()("platform", boost::program_options::value<std::string>());
    description.add_options()("json", "");
    const ParsedArguments parsed = parseArguments(arguments, description, {"file"});
    if (const auto *error = std::get_if<UsageError>(&parsed)) {
        std::cerr << name() << ": " << error->reason << '\n';
        return ExitCode::InvalidInput;
    }
    const auto &values = std::get<boost::program_options::variables_map>(parsed);
    const DocumentOrExit edited = loadDocument(values["file"].as<std::string>());
    if (const auto *code = std::get_if<ExitCode>(&edited)) {
        return *code;
    }
    const DocumentOrExit before = loadBaseDocument(std::get<Document>(edited), values);
    if (const auto *code = std::get_if<ExitCode>(&before)) {
        return *code;
    }
    const std::vector<DocumentChange> changes = differenceOf(std::get<Document>(before), std::get<Document>(edited));
    std::cout << (values.count("json") != 0 ? changesJson(changes) : changesText(changes));
    return ExitCode::Success;
}

} // namespace nutmeghinge
