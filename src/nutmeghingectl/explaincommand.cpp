#include "explaincommand.h"

#include "commandarguments.h"
#include "jsonreader.h"
#include "logreader.h"
#include "requesttrace.h"
#include "timelinepage.h"

#include <fstream>
#include <iostream>

namespace nutmeghinge {

namespace {

namespace po = boost::program_options;

po::options_description describe()
{
    po::options_description description;
    auto add = description.add_options();
    add("request-id", po::value<std::string>()->required());
    add("file", po::value<std::vector<std::string>>()->multitoken()->required());
    add("json", "");
    add("html", po::value<std::string>());
    return description;
}

/** Reads the files. Stops at the first one that cannot be read and returns its name. */
std::optional<std::string> readFiles(LogReader &reader, const std::vector<std::string> &files)
{
    for (const std::string &name : files) {
        std::ifstream file(name);
        if (!file) {
            return name;
        }
        reader.add(file);
    }
    return std::nullopt;
}

bool writePage(const std::string &path, const RequestTrace &trace)
{
    std::vector<TimelineEntry> entries;
    for (const RequestTrace::Step &step : trace.steps()) {
        entries.push_back(step.entry);
    }
    return TimelinePage::write(path, entries);
}

} // namespace

ExitCode ExplainCommand::run(const std::vector<std::string> &arguments)
{
    const ParsedArguments parsed = parseArguments(arguments, describe(), {"request-id", "file"});
    if (const auto *error = std::get_if<UsageError>(&parsed)) {
        std::cerr << name() << ": " << error->reason << '\n';
        return ExitCode::InvalidInput;
    }
    const auto &values = std::get<po::variables_map>(parsed);
    LogReader reader;
    if (const auto unreadable = readFiles(reader, values["file"].as<std::vector<std::string>>())) {
        std::cerr << *unreadable << ": cannot be read\n";
        return ExitCode::InvalidInput;
    }
    if (reader.unreadableLines() > 0) {
        std::cerr << "skipped " << reader.unreadableLines() << " lines that are truncated or not valid JSON\n";
    }
    const auto id = values["request-id"].as<std::string>();
    const std::optional<RequestTrace> trace = RequestTrace::fromEntries(id, reader.takeEntries());
    if (!trace) {
        std::cerr << "none of the " << reader.nodeLines() << " log lines of nodes mentions request " << id
                  << "; successful requests and those beyond the log limit are not logged\n";
        return ExitCode::Failure;
    }
    if (values.count("html") != 0) {
        const auto path = values["html"].as<std::string>();
        if (!writePage(path, *trace)) {
            std::cerr << path << ": cannot be written\n";
            return ExitCode::Failure;
        }
        return ExitCode::Success;
    }
    std::cout << (values.count("json") != 0 ? jsonToText(trace->toJson()) + '\n' : trace->toText());
    return ExitCode::Success;
}

} // namespace nutmeghinge
