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
        std::cerr << "--listen, --node-announce: not ADDRESS:PORT\n";
        return 2;
    }
    options.node = *nodeEndpoint;
    EventLoop loop;
    TargetStandin target(loop, std::move(options));
    const auto listening = target.listen(*endpoint);
    if (const auto *fault = std::get_if<ListenError>(&listening)) {
        std::cerr << listen << ": " << fault->reason << '\n';
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
    options.add_options()("node-announce", po::value(&node), "ADDRESS:PORT where the node takes announcements");
    options.add_options()("service", po::value(&target.service)->required(), "name of the service");
    options.add_options()("name", po::value(&target.name)->required(), "name of the target");
    options.add_options()("slots", po::value(&target.slots)->default_value(target.slots), "requests run at one time");
    options.add_options()("connections", po::value(&target.connections)->default_value(target.connections), "connections at one time");
    options.add_options()("queue", po::value(&target.queue)->default_value(target.queue), "requests that wait for a slot");
    options.add_options()("service-time-ms", po::value(&target.serviceTimeMs)->default_value(target.serviceTimeMs), "time of one request");
    options.add_options()("check-fence", po::bool_switch(&target.checkFence), "refuse older fences");
    options.add_options()("print-executions", po::bool_switch(&target.printExecutions), "tell each execution on standard output");
    options.add_options()("incarnation", po::value(&target.incarnation)->default_value(target.incarnation), "number of this run");
    options.add_options()("cold-start-ms", po::value(&target.coldStartMs)->default_value(target.coldStartMs), "slow for this time after the start");
    options.add_options()("key-header", po::value(&target.keyHeader)->default_value(target.keyHeader), "request header with the key, in lower case");
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
