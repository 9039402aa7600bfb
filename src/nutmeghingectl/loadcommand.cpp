#include "loadcommand.h"

#include "endpointtext.h"
#include "eventloop.h"
#include "loadgenerator.h"

#include <boost/program_options.hpp>
#include <cmath>
#include <iostream>
#include <optional>
#include <sstream>

namespace nutmeghinge {

namespace {

namespace po = boost::program_options;

constexpr double maxRate = 100000;
constexpr double maxSeconds = 86400;
constexpr std::uint32_t maxKeys = 10000000;

/** Arguments as given on the command line. */
struct Arguments {
    LoadOptions load;
    std::string entries;
    std::string targets;
    double durationSeconds = 10;
    double timeoutSeconds = 5;
    bool json = false;
};

po::options_description describe(Arguments &arguments)
{
    LoadOptions &load = arguments.load;
    po::options_description options("nutmeghingectl load: sends load to nodes and checks the answers.\n"
                                    "Exit code: 0 clean; 1 an order ran twice, a refused order ran, or an answer was wrong or truncated; "
                                    "2 invalid arguments.\nOptions");
    auto add = options.add_options();
    add("help", "show this text");
    add("entries", po::value(&arguments.entries)->required(), "caller listeners of nodes, ADDRESS:PORT,...");
    add("targets", po::value(&arguments.targets), "targets whose /executions are compared at the end, ADDRESS:PORT,...");
    add("host", po::value(&load.host)->required(), "host of the service");
    add("key-header", po::value(&load.keyHeader)->default_value(load.keyHeader), "request header that holds the key, in lower case");
    add("rate", po::value(&load.rate)->default_value(load.rate), "requests per second");
    add("duration", po::value(&arguments.durationSeconds)->default_value(arguments.durationSeconds), "duration of the run, in seconds");
    add("timeout", po::value(&arguments.timeoutSeconds)->default_value(arguments.timeoutSeconds), "timeout of a request with its retries, in seconds");
    add("keys", po::value(&load.keys)->default_value(load.keys), "number of keys");
    add("skew", po::value(&load.skew)->default_value(load.skew, "0.9"), "exponent of the keys' Zipf distribution");
    add("orders", po::value(&load.orderPercent)->default_value(load.orderPercent), "share of non-idempotent orders, in percent");
    add("order-bytes", po::value(&load.orderBytes)->default_value(load.orderBytes), "body size of an order, in bytes");
    add("downloads", po::value(&load.downloadPercent)->default_value(load.downloadPercent), "share of downloads, in percent");
    add("download-bytes", po::value(&load.downloadBytes)->default_value(load.downloadBytes), "body size of a download, in bytes");
    add("seed", po::value(&load.seed)->default_value(load.seed), "random seed of keys, request kinds and send times");
    add("retry", po::bool_switch(&load.retry), "retry requests that were refused as not run");
    add("json", po::bool_switch(&arguments.json), "print JSON");
    return options;
}

std::optional<std::vector<Endpoint>> endpointsOf(const std::string &text)
{
    std::vector<Endpoint> endpoints;
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, ',');) {
        const std::optional<Endpoint> endpoint = endpointFromText(part);
        if (!endpoint || endpoint->isEmpty()) {
            return std::nullopt;
        }
        endpoints.push_back(*endpoint);
    }
    return endpoints;
}

bool isWithin(double value, double limit)
{
    return value > 0 && value <= limit;
}

/** Checks the arguments and converts them to load options. Returns the error; empty if there is none. */
std::string convertArguments(Arguments &arguments)
{
    LoadOptions &load = arguments.load;
    const auto entries = endpointsOf(arguments.entries);
    const auto targets = endpointsOf(arguments.targets);
    if (!entries || entries->empty() || !targets) {
        return "--entries and --targets must be ADDRESS:PORT,...";
    }
    if (!isWithin(load.rate, maxRate) || !isWithin(arguments.durationSeconds, maxSeconds) || !isWithin(arguments.timeoutSeconds, maxSeconds)) {
        return "--rate, --duration, --timeout: out of range";
    }
    if (load.keys == 0 || load.keys > maxKeys || !std::isfinite(load.skew) || load.skew < 0) {
        return "--keys, --skew: out of range";
    }
    if (load.orderPercent > 100 || load.downloadPercent > 100 - load.orderPercent) {
        return "--orders and --downloads: their sum is over 100 percent";
    }
    load.entries = *entries;
    load.targets = *targets;
    load.duration = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(arguments.durationSeconds));
    load.timeout = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(arguments.timeoutSeconds));
    return {};
}

ExitCode runLoad(const Arguments &arguments)
{
    EventLoop loop;
    LoadGenerator generator(loop, arguments.load);
    generator.start([&] { loop.stop(); });
    loop.run();
    const LoadReport &report = generator.report();
    if (arguments.json) {
        std::cout << report.toJson().dump(2) << '\n';
    } else {
        std::cout << report.toText();
    }
    return report.isClean() ? ExitCode::Success : ExitCode::Failure;
}

} // namespace

ExitCode LoadCommand::run(const std::vector<std::string> &arguments)
{
    Arguments parsed;
    const po::options_description options = describe(parsed);
    try {
        po::variables_map values;
        po::store(po::command_line_parser(arguments).options(options).run(), values);
        if (values.count("help") > 0) {
            std::cout << options;
            return ExitCode::Success;
        }
        po::notify(values);
    } catch (const po::error &error) {
        std::cerr << error.what() << '\n';
        return ExitCode::InvalidInput;
    }
    const std::string error = convertArguments(parsed);
    if (!error.empty()) {
        std::cerr << error << '\n';
        return ExitCode::InvalidInput;
    }
    return runLoad(parsed);
}

} // namespace nutmeghinge
