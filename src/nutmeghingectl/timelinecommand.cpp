#include "timelinecommand.h"

#include "blockingclient.h"
#include "commandarguments.h"
#include "endpointtext.h"
#include "nodelist.h"
#include "nodestatus.h"
#include "shardof.h"
#include "timelinecollector.h"
#include "timelinepage.h"
#include "timelinetext.h"

#include <chrono>
#include <iostream>
#include <thread>

namespace nutmeghinge {

namespace {

namespace po = boost::program_options;

constexpr std::uint16_t statusOk = 200;
constexpr auto pollInterval = std::chrono::seconds(1);

std::vector<CollectedAnswer> queryAll(BlockingClient &client, const std::vector<Endpoint> &nodes, const std::function<std::string(std::size_t)> &path)
{
    std::vector<HttpClientRequest> requests(nodes.size());
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        requests[index].to = nodes[index];
        requests[index].path = path(index);
    }
    return client.sendAll(std::move(requests));
}

/** Returns the shard of a key that has no shard of its own; std::nullopt if no node reports the number of shards. */
std::optional<std::uint64_t> shardOfKey(BlockingClient &client, const std::vector<Endpoint> &nodes, const std::string &key)
{
    for (const CollectedAnswer &answer : queryAll(client, nodes, [](std::size_t) { return "/status"; })) {
        const ParsedNodeStatus parsed = answer.isComplete(statusOk) ? parseNodeStatus(answer.body) : JsonError{};
        const auto *status = std::get_if<NodeStatus>(&parsed);
        if (status && status->shards > 0) {
            return hashOfKey(key) % status->shards;
        }
    }
    return std::nullopt;
}

/** Requests the timeline of every node once. Returns whether all answers were valid. */
bool poll(BlockingClient &client, const std::vector<Endpoint> &nodes, TimelineCollector &collector)
{
    const auto answers = queryAll(client, nodes, [&](std::size_t index) { return "/timeline?since=" + std::to_string(collector.since(index)); });
    bool complete = true;
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        const std::optional<JsonError> error =
            answers[index].isComplete(statusOk) ? collector.add(index, answers[index].body) : std::optional(JsonError{"did not answer"});
        if (error) {
            std::cerr << endpointToText(nodes[index]) << ": no timeline: " << error->reason << '\n';
            complete = false;
        }
    }
    return complete;
}

void print(const std::vector<TimelineEntry> &entries, bool json)
{
    for (const TimelineEntry &entry : entries) {
        std::cout << (json ? jsonToText(TimelineText::toJson(entry)) : TimelineText::toLine(entry)) << '\n';
    }
    std::cout.flush();
}

po::options_description describe()
{
    po::options_description description;
    auto add = description.add_options();
    add("nodes", po::value<std::string>()->required());
    add("html", po::value<std::string>());
    add("follow", "");
    add("key", po::value<std::string>());
    add("shard", po::value<std::uint64_t>());
    add("node", po::value<std::string>());
    add("request", po::value<std::uint64_t>());
    add("json", "");
    return description;
}

template <typename Value>
std::optional<Value> optionalValue(const po::variables_map &values, const char *name)
{
    return values.count(name) != 0 ? std::optional(values[name].as<Value>()) : std::nullopt;
}

/** Returns why the options cannot be combined; empty if they can. */
std::string conflict(const po::variables_map &values)
{
    if (values.count("html") != 0 && values.count("follow") + values.count("json") != 0) {
        return "--html cannot be combined with --follow or --json";
    }
    return values.count("key") + values.count("shard") > 1 ? "--key and --shard cannot be combined" : "";
}

ExitCode show(BlockingClient &client, const std::vector<Endpoint> &nodes, TimelineCollector &collector, const po::variables_map &values)
{
    bool complete = poll(client, nodes, collector);
    if (values.count("html") != 0) {
        const auto path = values["html"].as<std::string>();
        if (!TimelinePage::write(path, collector.takeEntries())) {
            std::cerr << path << ": cannot be written\n";
            return ExitCode::Failure;
        }
        return complete ? ExitCode::Success : ExitCode::Failure;
    }
    const bool json = values.count("json") != 0;
    print(collector.takeEntries(), json);
    while (values.count("follow") != 0) {
        std::this_thread::sleep_for(pollInterval);
        poll(client, nodes, collector);
        print(collector.takeEntries(), json);
    }
    return complete ? ExitCode::Success : ExitCode::Failure;
}

} // namespace

ExitCode TimelineCommand::run(const std::vector<std::string> &arguments)
{
    const ParsedArguments parsed = parseArguments(arguments, describe(), {});
    if (const auto *error = std::get_if<UsageError>(&parsed)) {
        std::cerr << name() << ": " << error->reason << '\n';
        return ExitCode::InvalidInput;
    }
    const auto &values = std::get<po::variables_map>(parsed);
    const auto nodes = nodesFromText(values["nodes"].as<std::string>());
    const std::string reason = nodes ? conflict(values) : "--nodes must be ADDRESS:PORT,...";
    if (!reason.empty()) {
        std::cerr << name() << ": " << reason << '\n';
        return ExitCode::InvalidInput;
    }
    BlockingClient client;
    TimelineFilter filter{
        optionalValue<std::uint64_t>(values, "shard"), optionalValue<std::uint64_t>(values, "request"), optionalValue<std::string>(values, "node")};
    if (values.count("key") != 0) {
        filter.shard = shardOfKey(client, *nodes, values["key"].as<std::string>());
        if (!filter.shard) {
            std::cerr << name() << ": no node reports the number of shards\n";
            return ExitCode::Failure;
        }
    }
    TimelineCollector collector(nodes->size(), filter);
    return show(client, *nodes, collector, values);
}

} // namespace nutmeghinge
