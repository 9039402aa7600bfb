#include "endpointtext.h"
#include "eventloop.h"
#include "targetstandin.h"

#include <boost/program_options.hpp>
#include <iostream>

namespace po = boost::program_options;
using namespace nutmeghinge;

namespace {

int run(const std::string &listen, const std::string &node, TargetStandin::Options options)
{
    const std::optional<Endpoint> endpoint = endpointFromText(listen);
    const std::optional<Endpoint> nodeEndpoint = endpointFromText(node);
    if (!endpoint || !nodeEndpoint) {
        std::cerr << "--listen, --node-announce: expected ADDRESS:PORT\n";
        return 2;
    }
    options.node = *nodeEndpoint;
    EventLoop loop;
    TargetStandin target(loop, std::move(options));
    const auto listening = target.listen(*endpoint);
    if (const auto *error = std::get_if<ListenError>(&listening)) {
        std::cerr << listen << ": " << error->reason << '\n';
        return 1;
    }
    std::cout << "listening " << endpointToText(std::get<Endpoint>(listening)) << std::endl;
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    TargetStandin::Options target;
    std::string listen;
    std::string node;
    po::options_description options("Stand-in for a target");
    options.add_options()("help", "show this text");
    options.add_options()("listen", po::value(&listen)->default_value("127.0.0.1:0"), "ADDRESS:PORT");
    options.add_options()("node-announce", po::value(&node), "ADDRESS:PORT at which the node accepts announcements");
    options.add_options()("service", po::value(&target.service)->required(), "name of the service");
    options.add_options()("name", po::value(&target.name)->required(), "name of the target");
    options.add_options()("slots", po::value(&target.slots)->default_value(target.slots), "number of requests run at the same time");
    options.add_options()("connections", po::value(&target.connections)->default_value(target.connections), "number of connections open at the same time");
    options.add_options()("queue", po::value(&target.queue)->default_value(target.queue), "number of requests that may wait for a slot");
    options.add_options()("service-time-ms", po::value(&target.serviceTimeMs)->default_value(target.serviceTimeMs), "duration of one request");
    options.add_options()("check-fence", po::bool_switch(&target.checkFence), "refuse requests and grants with an outdated fence");
    options.add_options()("print-executions", po::bool_switch(&target.printExecutions), "print each execution to standard output");
    options.add_options()(
        "incarnation", po::value(&target.incarnation)->default_value(target.incarnation), "incarnation of the target; higher after each restart");
    options.add_options()("cold-start-ms",
                          po::value(&target.coldStartMs)->default_value(target.coldStartMs),
                          "time after the start during which requests take ten times as long");
    options.add_options()(
        "key-header", po::value(&target.keyHeader)->default_value(target.keyHeader), "lower-case name of the request header that holds the key");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, options), values);
        if (values.count("help") > 0) {
            std::cout << options;
            return 0;
        }
        po::notify(values);
    } catch (const po::error &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    return run(listen, node, std::move(target));
}
