#include "documenthistorycommand.h"

#include "commandarguments.h"
#include "documentstore.h"
#include "endpointtext.h"
#include "jsonreader.h"

#include <iostream>

namespace nutmeghinge {

namespace {

namespace po = boost::program_options;

std::vector<DocumentEntry> latestFirst(const DocumentHistory &history)
{
    std::vector<DocumentEntry> entries(history.previous.rbegin(), history.previous.rend());
    if (history.version.value() != 0) {
        entries.insert(entries.begin(), history.inForce);
    }
    return entries;
}

std::string entriesText(const std::vector<DocumentEntry> &entries)
{
    std::string text;
    for (const DocumentEntry &entry : entries) {
        text += "revision " + std::to_string(entry.revision.value()) + "  " + (entry.at.empty() ? "unknown time" : entry.at) + "  "
                + (entry.editor.empty() ? "unknown" : entry.editor) + '\n';
    }
    return text;
}

std::string entriesJson(const std::vector<DocumentEntry> &entries)
{
    nlohmann::json list = nlohmann::json::array();
    for (const DocumentEntry &entry : entries) {
        list.push_back({{"revision", entry.revision.value()}, {"object", entry.object}, {"editor", entry.editor}, {"at", entry.at}});
    }
    return jsonToText(list) + '\n';
}

} // namespace

ExitCode DocumentHistoryCommand::run(const std::vector<std::string> &arguments)
{
    po::options_description description;
    auto add = description.add_options();
    add("service", po::value<std::string>()->required());
    add("platform", po::value<std::string>()->required());
    add("json", "");
    const ParsedArguments parsed = parseArguments(arguments, description, {"service"});
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
    const ServiceName service(values["service"].as<std::string>());
    DocumentStore store(*platform);
    const auto row = store.read(service);
    if (const auto *error = std::get_if<StoreError>(&row)) {
        std::cerr << service.value() << ": " << error->reason << '\n';
        return ExitCode::Failure;
    }
    const std::vector<DocumentEntry> entries = latestFirst(std::get<DocumentHistory>(row));
    if (entries.empty()) {
        std::cerr << service.value() << ": there is no document\n";
        return ExitCode::Failure;
    }
    std::cout << (values.count("json") != 0 ? entriesJson(entries) : entriesText(entries));
    return ExitCode::Success;
}

} // namespace nutmeghinge
