#include "soakchecks.h"
#include "soakrun.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <random>

namespace po = boost::program_options;

namespace {

struct Options {
    std::uint64_t first = 1;
    std::uint64_t last = 1;
    std::size_t nodes = 5;
    int seconds = 10;
    int minutes = 0;
    SoakExtras extras;
};

std::chrono::milliseconds longestDelay(const SoakObservations &observations)
{
    std::chrono::milliseconds longest(0);
    for (const SoakDocumentDelay &observed : observations.documentDelays) {
        longest = std::max(longest, observed.delay);
    }
    return longest;
}

std::size_t refusedAsSuspect(const SoakObservations &observations)
{
    return static_cast<std::size_t>(
        std::count_if(observations.requests.begin(), observations.requests.end(), [](const SoakRequest &request) { return request.refusedAsSuspect; }));
}

/** Runs the plan of one seed. Returns whether every check passed. */
bool runSeed(std::uint64_t seed, const Options &options)
{
    SoakRun run(seed, options.nodes, std::chrono::seconds(options.seconds), options.extras);
    const SoakObservations observations = run.run();
    const std::vector<std::string> violations = findViolations(observations);
    std::cout << "seed " << seed << ": " << observations.requests.size() << " requests, " << observations.executions.size() << " executions, "
              << run.plan().size() << " steps, " << refusedAsSuspect(observations) << " refused beside crashing requests, document in force after "
              << longestDelay(observations).count() << " ms, " << violations.size() << " violations" << std::endl;
    for (const std::string &violation : violations) {
        std::cout << "  " << violation << '\n';
    }
    if (!violations.empty()) {
        run.keepFolder();
        std::cout << "plan and logs of seed " << seed << " are in " << run.folder() << std::endl;
    }
    return violations.empty();
}

int runSeeds(const Options &options)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::minutes(options.minutes);
    std::vector<std::uint64_t> failed;
    std::uint64_t count = 0;
    const auto runOne = [&](std::uint64_t seed) {
        ++count;
        if (!runSeed(seed, options)) {
            failed.push_back(seed);
        }
    };
    if (options.minutes > 0) {
        std::random_device randomDevice;
        while (std::chrono::steady_clock::now() < end) {
            runOne(randomDevice());
        }
    } else {
        for (std::uint64_t seed = options.first; seed <= options.last; ++seed) {
            runOne(seed);
        }
    }
    std::cout << count << " seeds run, " << failed.size() << " failed";
    for (const std::uint64_t seed : failed) {
        std::cout << ' ' << seed;
    }
    std::cout << std::endl;
    return failed.empty() ? 0 : 1;
}

/** Reads "FIRST-LAST" or "SEED". Returns false if the text is neither, or FIRST is greater than LAST. */
bool readSeeds(const std::string &text, Options &options)
{
    const std::size_t dash = text.find('-');
    if (text.find_first_not_of("0123456789-") != std::string::npos || text.empty() || dash == 0) {
        return false;
    }
    options.first = std::stoull(text);
    options.last = dash == std::string::npos ? options.first : std::stoull(text.substr(dash + 1));
    return options.first <= options.last;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Options options;
    std::string seeds = "1-50";
    std::string seed;
    po::options_description description("Injects seeded faults into real nodes on loopback and checks the guarantees of the service");
    description.add_options()("help", "show this text");
    description.add_options()("seeds", po::value(&seeds)->default_value(seeds), "FIRST-LAST");
    description.add_options()("seed", po::value(&seed), "one seed, in place of --seeds");
    description.add_options()("minutes", po::value(&options.minutes), "run random seeds for this time instead of --seeds");
    description.add_options()(
        "restorations", po::value(&options.extras.restorations), "restorations of the platform's table from a copy in each seed; default 0");
    description.add_options()("statements", po::value(&options.extras.statements), "limits and departures that targets state in each seed; default 0");
    description.add_options()(
        "silences", po::value(&options.extras.silences), "times at which the open connections to the platform fall silent in each seed; default 0");
    description.add_options()(
        "crashes", po::value(&options.extras.crashes), "requests under which targets crash, sent again and again, in each seed; default 0");
    description.add_options()("announcements",
                              po::value(&options.extras.announcements),
                              "announcements of other writers, and ones held back over a restart of the node, in each seed; default 0");
    description.add_options()("nodes", po::value(&options.nodes)->default_value(options.nodes), "number of nodes, each with a target");
    description.add_options()("seconds", po::value(&options.seconds)->default_value(options.seconds), "time during which each seed injects faults");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        po::notify(values);
    } catch (const po::error &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    if (!readSeeds(seed.empty() ? seeds : seed, options) || options.nodes < 1 || options.nodes > 60 || options.seconds < 1) {
        std::cerr << "--seeds: FIRST-LAST; --nodes: 1 to 60; --seconds: 1 or more\n";
        return 2;
    }
    return runSeeds(options);
}
