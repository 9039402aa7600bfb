#include "endpointtext.h"
#include "eventloop.h"
#include "platformstandin.h"

#include <boost/program_options.hpp>
#include <iostream>

namespace po = boost::program_options;
using namespace nutmeghinge;

namespace {

int run(const std::string &listen)
{
    const std::optional<Endpoint> endpoint = endpointFromText(listen);
    if (!endpoint) {
        std::cerr << "--listen: expected ADDRESS:PORT\n";
        return 2;
    }
    EventLoop loop;
    PlatformStandin platform(loop);
    const auto listening = platform.listen(*endpoint);
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
    po::options_description options("Stand-in for the platform's table service and object store");
    std::string listen;
    options.add_options()("help", "show this text")("listen", po::value(&listen)->default_value("127.0.0.1:0"), "ADDRESS:PORT");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, options), values);
        po::notify(values);
        if (values.count("help") > 0) {
            std::cout << options;
            return 0;
        }
    } catch (const po::error &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    return run(listen);
}
