#include "documentputcommand.h"

#include "commandarguments.h"
#include "documentfile.h"
#include "documentstore.h"
#include "endpointtext.h"

#include <cstdlib>
#include <iostream>

namespace nutmeghinge {

namespace {

namespace po = boost::program_options;

std::string defaultEditor()
{
    const char *user = std::getenv("USER"); // NOLINT(concurrency-mt-unsafe)
    return user == nullptr || *user == '\0' ? "unknown" : user;
}

std::string revisionText(DocumentRevision revision)
{
    return "revision " + std::to_string(revision.value());
}

std::string conflictText(const EditConflict &conflict)
{
    const DocumentEntry &inForce = conflict.inForce;
    if (inForce.revision.value() == 0) {
        return "edit of " + revisionText(conflict.base) + " conflicts: no revision is in force (revision 0)";
    }
    return "edit of " + revisionText(conflict.base) + " conflicts: " + revisionText(inForce.revision) + " is in force, put by "
           + (inForce.editor.empty() ? "unknown" : inForce.editor) + " at " + (inForce.at.empty() ? "an unknown time" : inForce.at);
}

std::string retryHint(DocumentRevision base)
{
    return "; put it again with --base " + std::to_string(base.value());
}

/** Returns why the edit was not, or may not have been, accepted; empty if it was. */
std::string failureText(const EditOutcome &outcome)
{
    if (const auto *conflict = std::get_if<EditConflict>(&outcome)) {
        return conflictText(*conflict);
    }
    if (const auto *refused = std::get_if<EditNotAccepted>(&outcome)) {
        return "not accepted, and may be put again: " + refused->reason + retryHint(refused->base);
    }
    if (const auto *unknown = std::get_if<EditUnknown>(&outcome)) {
        return "the outcome is unknown: " + unknown->reason + "; check document history before another put";
    }
    if (const auto *error = std::get_if<StoreError>(&outcome)) {
        return "not accepted: " + error->reason;
    }
    return {};
}

ExitCode putDocument(DocumentStore &store, const DocumentEdit &edit)
{
    const EditOutcome outcome = store.put(edit);
    if (const auto *accepted = std::get_if<EditAccepted>(&outcome)) {
        std::cout << edit.service.value() << ' ' << revisionText(accepted->revision) << " accepted\n";
        return ExitCode::Success;
    }
    std::cerr << edit.service.value() << ": " << failureText(outcome) << '\n';
    return ExitCode::Failure;
}

ExitCode putFile(const std::string &path, const Endpoint &platform, DocumentEdit edit)
{
    const std::optional<std::string> text = readDocumentText(path);
    const ParsedDocument parsed = text ? parseDocument(*text) : std::vector<DocumentError>{{0, {}, "the file cannot be read"}};
    if (const auto *errors = std::get_if<std::vector<DocumentError>>(&parsed)) {
        std::cerr << errorsText(path, *errors);
        return ExitCode::InvalidInput;
    }
    edit.service = std::get<Document>(parsed).service;
    edit.text = *text;
    DocumentStore store(platform);
    return putDocument(store, edit);
}

} // namespace

ExitCode DocumentPutCommand::run(const std::vector<std::string> &arguments)
{
    po::options_description description;
    auto add = description.add_options();
    add("file", po::value<std::string>()->required());
    add("platform", po::value<std::string>()->required());
    add("base", po::value<std::uint64_t>());
    add("editor", po::value<std::string>()->default_value(defaultEditor()));
    const ParsedArguments parsed = parseArguments(arguments, description, {"file"});
    if (const auto *error = std::get_if<UsageError>(&parsed)) {
        std::cerr << name() << ": " << error->reason << '\n';
        return ExitCode::InvalidInput;
    }
    const auto &values = std::get<po::variables_map>(parsed);
    const auto platform = endpointFromText(values["platform"].as<std::string>());
    if (!platform || platform->isEmpty()) {
        std::cerr << name() << ": --platform is not ADDRESS:PORT\n";
        return ExitCode::InvalidInput;
    }
    DocumentEdit edit;
    edit.editor = values["editor"].as<std::string>();
    if (values.count("base") != 0) {
        edit.base = DocumentRevision(values["base"].as<std::uint64_t>());
    }
    return putFile(values["file"].as<std::string>(), *platform, std::move(edit));
}

} // namespace nutmeghinge
