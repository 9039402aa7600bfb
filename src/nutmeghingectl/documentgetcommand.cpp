#include "documentgetcommand.h"

#include "commandarguments.h"
#include "documentstore.h"
#include "endpointtext.h"
#include "jsonreader.h"

#include <iostream>

namespace nutmeghinge {

namespace {

namespace po = boost::program_options;

std::string textJson(const ServiceName &service, const DocumentText &text)
{
    return jsonToText({{"service", service.value()},
                       {"revision", text.entry.revision.value()},
                       {"object", text.entry.object},
                       {"editor", text.entry.editor},
                       {"at", text.entry.at},
                       {"text", text.text}})
           + '\n';
}

} // namespace

ExitCode DocumentGetCommand::run(const std::vector<std::string> &arguments)
{
    po::options_description description;
    auto add = description.add_options();
    add("service", po::value<std::string>()->required());
    add("platform", po::value<std::string>()->required());
    add("revision", po::value<std::uint64_t>());
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
    std::optional<DocumentRevision> revision;
    if (values.count("revision") != 0) {
        revision = DocumentRevision(values["revision"].as<std::uint64_t>());
    }
    const auto found = store.textOf(service, revision);
    if (const auto *error = std::get_if<StoreError>(&found)) {
        std::cerr << service.value() << ": " << error->reason << '\n';
        return ExitCode::Failure;
    }
    const auto &text = std::get<DocumentText>(found);
    std::cout << (values.count("json") != 0 ? textJson(service, text) : text.text);
    return ExitCode::Success;
}

} // namespace nutmeghinge
