#include "statuscommand.h"

#include "blockingclient.h"
#include "clusterstatus.h"
#include "commandarguments.h"
#include "endpointtext.h"
#include "nodelist.h"

#include <algorithm>
#include <iostream>

namespace nutmeghinge {

namespace {

constexpr std::uint16_t statusOk = 200;

/** Queries the status of the nodes. Returns the members that they know. */
std::vector<Endpoint> queryNodes(BlockingClient &client, const std::vector<Endpoint> &nodes, ClusterStatus &cluster)
{
    std::vector<HttpClientRequest> requests(nodes.size());
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        requests[index].to = nodes[index];
        requests[index].path = "/status";
    }
    const std::vector<CollectedAnswer> answers = client.sendAll(std::move(requests));
    std::vector<Endpoint> members;
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        if (!answers[index].isComplete(statusOk)) {
            cluster.addFailure(endpointToText(nodes[index]), "did not answer");
            continue;
        }
        ParsedNodeStatus parsed = parseNodeStatus(answers[index].body);
        if (const auto *error = std::get_if<JsonError>(&parsed)) {
            cluster.addFailure(endpointToText(nodes[index]), error->reason);
            continue;
        }
        auto &status = std::get<NodeStatus>(parsed);
        members.insert(members.end(), status.members.begin(), status.members.end());
        cluster.addAnswer(std::move(status));
    }
    return members;
}

std::vector<Endpoint> withoutKnown(const std::vector<Endpoint> &members, const std::vector<Endpoint> &known)
{
    std::vector<Endpoint> rest;
    for (const Endpoint &member : members) {
        if (std::find(known.begin(), known.end(), member) == known.end() && std::find(rest.begin(), rest.end(), member) == rest.end()) {
            rest.push_back(member);
        }
    }
    return rest;
}

} // namespace

ExitCode StatusCommand::run(const std::vector<std::string> &arguments)
{
    boost::program_options::options_description description;
    description.add_options()("nodes", boost::program_options::value<std::string>()->required());
    description.add_options()("all", "");
    description.add_options()("json", "");
    const ParsedArguments parsed = parseArguments(arguments, description, {});
    if (const auto *error = std::get_if<UsageError>(&parsed)) {
        std::cerr << name() << ": " << error->reason << '\n';
        return ExitCode::InvalidInput;
    }
    const auto &values = std::get<boost::program_options::variables_map>(parsed);
    const auto nodes = nodesFromText(values["nodes"].as<std::string>());
    if (!nodes) {
        std::cerr << name() << ": --nodes must be ADDRESS:PORT,...\n";
        return ExitCode::InvalidInput;
    }
    BlockingClient client;
    ClusterStatus cluster;
    const std::vector<Endpoint> members = queryNodes(client, *nodes, cluster);
    if (values.count("all") != 0) {
        queryNodes(client, withoutKnown(members, *nodes), cluster);
    }
    std::cout << (values.count("json") != 0 ? cluster.toJson() : cluster.toText());
    return cluster.allAnswered() ? ExitCode::Success : ExitCode::Failure;
}

} // namespace nutmeghinge
